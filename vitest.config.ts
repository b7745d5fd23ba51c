import * as vitest from 'vitest/config'

/** Tests that fill a process on purpose. They run one at a time, after the others. */
const CROWD_TESTS = '**/__tests__/*.crowd.spec.ts'

export default vitest.defineConfig({
  test: {
    setupFiles: ['scripts/seed-fast-check.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    projects: [{
      extends: true,
      test: {
        name: 'suite',
        include: ['src/**/__tests__/*.spec.ts', 'standins/**/__tests__/*.spec.ts', 'bench/**/__tests__/*.spec.ts', 'playground/**/__tests__/*.spec.ts', 'platform/__tests__/*.spec.ts'],
        exclude: [CROWD_TESTS],
        // Each end-to-end test starts about 20 processes; more at a time delay their start and their timers.
        maxWorkers: 4,
        sequence: { groupOrder: 0 }
      }
    }, {
      extends: true,
      test: {
        name: 'crowds',
        include: ['playground/__tests__/*.crowd.spec.ts', 'platform/__tests__/*.crowd.spec.ts'],
        maxWorkers: 1,
        sequence: { groupOrder: 1 }
      }
    }]
  }
})
