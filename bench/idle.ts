/**
 * Process that only stays alive, to measure what the Node runtime and the usage probe use on their own.
 */

console.log(JSON.stringify({ ready: true }))
process.once('SIGTERM', () => process.exit(0))
setInterval(() => {}, 1_000)
