/**
 * Text that the engine stand-in generates.
 *
 * @module
 */

import { sha256 } from "../model/mod.ts";

/**
 * Text for a prompt: the same prompt gives the same text, which names the
 * marker that the prompt carries.
 */
export function completionFor(prompt: string, maxTokens: number): string {
  return tokensFor(prompt, maxTokens).join("");
}

/** The text as single tokens. */
export function tokensFor(prompt: string, maxTokens: number): string[] {
  const marker = /"marker":"([^"]*)"/.exec(prompt)?.[1] ?? "none";
  const hash = sha256(prompt);
  const words = Array.from(
    { length: Math.max(0, maxTokens - 1) },
    (_, i) => ` w${hash.slice(i % 60, i % 60 + 4)}`,
  );
  return [`marker=${marker}`, ...words];
}
