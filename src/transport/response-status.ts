/**
 * Status codes of HTTP responses (RFC 9110, section 15).
 */

const [MIN_FINAL_STATUS, MAX_STATUS] = [200, 599]

/** Whether a status can be that of a final response. Parsers pass on any number of three digits, such as 000. */
export function isFinal (status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS
}
