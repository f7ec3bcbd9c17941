/**
 * Experiment: bytes that notices and permits cost an entry, measured over
 * loopback and calculated for the design size.
 *
 * @module
 */

import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { monotonicMs } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import { Metrics } from "../telemetry/mod.ts";
import {
  EntryPeerClients,
  entryPeerHandler,
  type NoticeMessage,
} from "../wire/mod.ts";
import type { Experiment } from "./experiment.ts";

/** Exchanges of state that an entry begins in a second: 4 peers every 0.4 s. */
const EXCHANGES_PER_S = 10;
/** Suspects of a crash: half of 64 prompts of two shared segments, at most. */
const SUSPECTS = 64;
/** Links over which an entry hears or passes on a notice. */
const LINKS = 8;
const TIMEOUT_MS = 1_000;
const MS_PER_S = 1_000;
const VERSIONS = { configuration: 1_000, targets: 120_000, peers: 900 };

/** The experiment `notices`. */
export const notices: Experiment = {
  name: "notices",
  summary: "bytes of the notices and permits that entries exchange",
  run: async ({ seed }) => {
    const link = await Link.open();
    const plain = await link.sync(false);
    const idle = await link.sync(true);
    link.postCrash();
    const crash = await link.sync(true) - idle;
    link.postLimit();
    const limit = await link.sync(true) - idle;
    const permit = await link.permit();
    await link.close();
    const perS = (bytes: number) =>
      Math.round(2 * EXCHANGES_PER_S * bytes) / MS_PER_S;
    return {
      experiment: "notices",
      seed,
      bytes_per_exchange_without: plain,
      bytes_per_exchange_idle: idle,
      bytes_per_crash_notice: crash,
      bytes_per_limit_notice: limit,
      bytes_per_permit: permit,
      idle_kb_per_s_added: perS(idle - plain),
      kb_per_s_of_one_crash_a_second: crash * LINKS / MS_PER_S,
    };
  },
};

/** Two entries on loopback, and the bytes between them. */
class Link {
  readonly #clients = new EntryPeerClients();
  readonly #own = new NoticeBoard({ metrics: new Metrics() });
  readonly #peer = new NoticeBoard({ metrics: new Metrics() });
  readonly #sockets: Socket[] = [];
  readonly #server = createServer(entryPeerHandler({
    reportRollout: () => ({}),
    sync: ({ from, notices }) => ({
      changes: [],
      versions: VERSIONS,
      targetsAgeMs: 412.123456789,
      isLeaving: false,
      upMs: 123_456.789012345,
      notices: notices && this.#peer.respond(from, notices),
    }),
    freeResults: () => {},
    explainRoute: () => ({ kind: "rejected", reason: "none" }),
    permit: () => Promise.resolve({ isGranted: false, waitMs: 412.5 }),
    runChain: () => Promise.resolve({ kind: "leaving" }),
    keepOrigins: () => ({ start: "", isLeaving: false }),
    recordOrigins: () => Promise.resolve({ isRecorded: false }),
    findOrigin: () => Promise.reject(new Error("not used")),
  }));
  #url = "";

  static async open(): Promise<Link> {
    const link = new Link();
    link.#server.on(
      "connection",
      (socket: Socket) => link.#sockets.push(socket),
    );
    await new Promise<void>((resolve) =>
      link.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = link.#server.address() as AddressInfo;
    link.#url = `http://127.0.0.1:${port}`;
    // The first exchanges open the connection and learn the peer's start.
    for (let i = 0; i < 3; i++) await link.sync(true);
    return link;
  }

  /** Exchanges state once; returns the bytes in both directions. */
  async sync(withNotices: boolean): Promise<number> {
    const before = this.#bytes;
    const message: NoticeMessage | undefined = withNotices
      ? this.#own.messageTo("peer")
      : undefined;
    const { notices } = await this.#clients.sync(this.#url, {
      from: "edge-addis-bole-2",
      versions: VERSIONS,
      notices: message,
    }, TIMEOUT_MS);
    if (notices) this.#own.handleResponse("peer", notices);
    return this.#bytes - before;
  }

  async permit(): Promise<number> {
    const before = this.#bytes;
    await this.#clients.permit(this.#url, {
      target: "i-b1bedbcbed",
      perS: 1.5,
      ageMs: 1_234.5678,
      isForwarded: false,
    }, AbortSignal.timeout(TIMEOUT_MS));
    return this.#bytes - before;
  }

  postCrash(): void {
    this.#own.post("crash", {
      kind: "target-crashed",
      target: "i-b1bedbcbed@1780000000000",
      suspects: Array.from(
        { length: SUSPECTS },
        (_, i) => [(0x5c1e07a2 + i).toString(16), i % 2, 123],
      ),
    }, monotonicMs());
  }

  postLimit(): void {
    const target = "i-b1bedbcbed";
    this.#own
      .post(
        "limit",
        { kind: "target-limit", target, perS: 1.5 },
        monotonicMs(),
      );
  }

  async close(): Promise<void> {
    await this.#clients.close();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get #bytes(): number {
    return this.#sockets
      .reduce((sum, one) => sum + one.bytesRead + one.bytesWritten, 0);
  }
}
