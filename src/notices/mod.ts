/**
 * Spreads facts among entries, with the state that they exchange.
 *
 * @module
 */

export * from "./notice_board.ts";
