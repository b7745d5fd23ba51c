/**
 * Sets a fixed seed for all property tests, so that every run has the same result. FAST_CHECK_SEED overrides it.
 */

import * as fc from 'fast-check'

const DEFAULT_SEED = 20_261_203

fc.configureGlobal({ ...fc.readConfigureGlobal(), seed: Number(process.env['FAST_CHECK_SEED'] ?? DEFAULT_SEED) })
