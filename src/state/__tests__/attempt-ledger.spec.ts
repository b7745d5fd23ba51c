import * as vitest from 'vitest'
import * as ledgers from '../attempt-ledger.js'

const entryIncarnation = 'a'.repeat(32)

// Guards against a duplicated message that runs a request twice.
vitest.test('second copy of an attempt is a duplicate', () => {
  const ledger = ledgers.createLedger()
  vitest.expect(ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 1 }, 1)).toBe('begun')
  vitest.expect(ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 1 }, 1)).toBe('duplicate')
})

// Guards against a delayed message that runs a request after its caller has received the answer that it did not run.
vitest.test('cancelled attempt never begins', () => {
  const ledger = ledgers.createLedger()
  vitest.expect(ledgers.cancelAttempt(ledger, { entryIncarnation, sequence: 4 })).toBe('tombstoned')
  vitest.expect(ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 4 }, 1)).toBe('tombstoned')
})

// Guards against running a copy that arrives after the ledger has dropped the attempt.
vitest.test('attempt below the watermark is settled', () => {
  const ledger = ledgers.createLedger()
  ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 1 }, 1)
  ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 9 }, 5)
  vitest.expect(ledgers.beginAttempt(ledger, { entryIncarnation, sequence: 1 }, 1)).toBe('settled')
  vitest.expect(ledger.entries.get(entryIncarnation)?.states.size).toBe(1)
})
