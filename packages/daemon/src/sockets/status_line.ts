/**
 * Finds the status line of an answer inside another one.
 *
 * @module
 */

/** Whether a text holds a status line, as the head of an answer does that ran on into the next answer. */
export function holdsStatusLine(text: string): boolean {
  return text.includes("HTTP/1.") && /HTTP\/1\.\d [1-5]\d\d/.test(text);
}
