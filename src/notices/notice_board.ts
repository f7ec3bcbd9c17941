/**
 * Notices of this process and those that it has heard from peers. Each exchange
 * with a peer transfers what the other side lacks, so a notice crosses each link
 * about once.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { monotonicMs } from "../kernel/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import {
  decodeNotice,
  MAX_NOTICES,
  type Notice,
  type NoticeCursor,
  type NoticeMessage,
} from "../wire/mod.ts";

/** Time for which a notice is passed on, in milliseconds. */
export const NOTICE_TTL_MS = 3_600_000;
/** Maximum number of notices; the oldest are discarded. */
export const MAX_KEPT_NOTICES = 2_048;
/**
 * Length of the identifier of a start, in bytes; every exchange carries two, and
 * it only has to differ between the starts of one process.
 */
const START_BYTES = 4;
/** Peers whose cursors are kept; the oldest are discarded. */
const MAX_PEERS = 1_024;

/**
 * Time by which a notice has to be newer than the same one before to be passed
 * on again, in milliseconds: ages change slightly between processes.
 */
const MIN_RELAY_ADVANCE_MS = 500;

/** Notice without its age. */
export type NoticeBody = Notice extends infer N
  ? N extends Notice ? Omit<N, "ageMs"> : never
  : never;

/** Receives the notices of peers. */
export type NoticeHandler = (notice: Notice, at: number) => void;

interface PostedNotice {
  readonly body: NoticeBody;
  /** Monotonic time of the event. */
  readonly at: number;
  readonly sequence: number;
  /** Start of the peer from which it was heard. */
  readonly from?: string;
}

interface PeerCursors {
  /** Notices of the peer that this process has. */
  heard?: NoticeCursor;
  /** Sequence number up to which the peer has the notices of this process. */
  acknowledged: number;
}

/** Notices of one process. */
export class NoticeBoard {
  readonly #start = randomBytes(START_BYTES).toString("hex");
  /** By key, in the order of their sequence numbers. */
  readonly #posted = new Map<string, PostedNotice>();
  readonly #peers = new Map<string, PeerCursors>();
  readonly #handlers = new Map<Notice["kind"], NoticeHandler>();
  readonly #metrics: Metrics;
  #sequence = 0;
  #news = new AbortController();
  /** Start of the peer whose notices are being handled. */
  #hearing: string | undefined;

  constructor({ metrics }: { metrics: Metrics }) {
    this.#metrics = metrics;
    metrics.gauge("notices_kept", () => this.#posted.size);
  }

  /** Calls `handler` with each notice of a kind that a peer passes on. */
  onNotice(kind: Notice["kind"], handler: NoticeHandler): void {
    this.#handlers.set(kind, handler);
  }

  /** Aborts as soon as there is a notice that no peer was sent. */
  get news(): AbortSignal {
    return this.#news.signal;
  }

  /** Posts a notice in place of the previous one with the same key. */
  post(key: string, body: NoticeBody, at: number): void {
    this.#sequence += 1;
    this.#posted.delete(key);
    this.#posted.set(key, {
      body,
      at,
      sequence: this.#sequence,
      from: this.#hearing,
    });
    this.#discardOld();
    this.#news.abort();
  }

  /** Returns the message that begins an exchange with a peer. */
  messageTo(peer: string): NoticeMessage {
    const cursors = this.#cursors(peer);
    if (this.#news.signal.aborted) this.#news = new AbortController();
    return this.#message(cursors.acknowledged, cursors.heard);
  }

  /** Handles the message of a peer; returns the response to it. */
  respond(peer: string, message: NoticeMessage): NoticeMessage {
    const { known, sent } = message;
    const after = known?.start === this.#start ? known.upTo : 0;
    this.#hear(message);
    Object.assign(this.#cursors(peer), { heard: sent, acknowledged: after });
    return this.#message(after, sent);
  }

  /** Handles the response of a peer to a message of this process. */
  handleResponse(peer: string, response: NoticeMessage): void {
    const cursors = this.#cursors(peer);
    const { known, sent } = response;
    // A peer that has restarted lacks what its previous start acknowledged.
    const hasRestarted = cursors.heard !== undefined &&
      cursors.heard.start !== sent.start;
    this.#hear(response);
    cursors.heard = sent;
    if (hasRestarted) cursors.acknowledged = 0;
    else if (known?.start === this.#start) cursors.acknowledged = known.upTo;
  }

  #hear({ sent, notices = [] }: NoticeMessage): void {
    const now = monotonicMs();
    this.#hearing = sent.start;
    notices.forEach((value) => {
      const notice = decodeNotice(value);
      if (!notice) return;
      this.#metrics.count("notices_heard_total", { kind: notice.kind });
      const handler = this.#handlers.get(notice.kind) ?? this.#relay;
      handler(notice, now - notice.ageMs);
    });
    this.#hearing = undefined;
  }

  /** Passes on a notice that this process has no use for. */
  readonly #relay: NoticeHandler = ({ ageMs: _ageMs, ...body }, at) => {
    const key = JSON.stringify(body);
    const known = this.#posted.get(key);
    if (known && at < known.at + MIN_RELAY_ADVANCE_MS) return;
    this.post(key, body, at);
  };

  #message(after: number, known: NoticeCursor | undefined): NoticeMessage {
    const now = monotonicMs();
    const lacking = [...this.#posted.values()]
      .filter(({ sequence }) => sequence > after)
      .slice(0, MAX_NOTICES);
    const isAll = lacking.length < MAX_NOTICES;
    const notices = lacking
      .filter(({ from }) => from === undefined || from !== known?.start)
      .map(({ body, at }) => ({
        ...body,
        ageMs: Math.max(0, Math.round(now - at)),
      }));
    return {
      sent: {
        start: this.#start,
        upTo: isAll ? this.#sequence : lacking.at(-1)?.sequence ?? after,
      },
      notices: notices.length > 0 ? notices : undefined,
      known,
    };
  }

  #cursors(peer: string): PeerCursors {
    const found = this.#peers.get(peer);
    if (found) return found;
    const created: PeerCursors = { acknowledged: 0 };
    this.#peers.set(peer, created);
    if (this.#peers.size > MAX_PEERS) {
      const [oldest] = this.#peers.keys();
      if (oldest !== undefined) this.#peers.delete(oldest);
    }
    return created;
  }

  #discardOld(): void {
    const expired = monotonicMs() - NOTICE_TTL_MS;
    [...this.#posted].filter(([, { at }]) => at < expired)
      .forEach(([key]) => this.#posted.delete(key));
    [...this.#posted.keys()]
      .slice(0, Math.max(0, this.#posted.size - MAX_KEPT_NOTICES))
      .forEach((key) => this.#posted.delete(key));
  }
}
