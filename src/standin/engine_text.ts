/**
 * Text that the engine stand-in generates.
 *
 * @module
 */

import { sha256 } from "../model/mod.ts";

/**
 * Returns the text for a prompt. It is a function of the prompt and contains
 * the marker in it, so that a response can be matched to its request.
 */
export function completionFor(prompt: string, maxTokens: number): string {
  return tokensFor(prompt, maxTokens).join("");
}

/** Returns the text for a prompt as a list of tokens. */
export function tokensFor(prompt: string, maxTokens: number): string[] {
  const marker = /"marker":"([^"]*)"/.exec(prompt)?.[1] ?? "none";
  const hash = sha256(prompt);
  const words = Array.from(
    { length: Math.max(0, maxTokens - 1) },
    (_, i) => ` w${hash.slice(i % 60, i % 60 + 4)}`,
  );
  return [`marker=${marker}`, ...words];
}
