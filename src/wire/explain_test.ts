import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  EntryPeerClients,
  entryPeerHandler,
  UnsupportedCallError,
} from "./entries.ts";
import type { ExplainedRequest } from "./explain.ts";

const TIMEOUT_MS = 5_000;
const REQUEST = { hostname: "api.example", path: "/r/1", key: "secret-key" };

/** Serves requests on loopback. */
async function withServer(
  listener: RequestListener,
  body: (url: string, clients: EntryPeerClients) => Promise<void>,
): Promise<void> {
  const clients = new EntryPeerClients();
  const server = createServer(listener);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await body(`http://127.0.0.1:${port}`, clients);
  } finally {
    await clients.close();
    server.close();
  }
}

const notUsed = () => {
  throw new Error("not used");
};

test("a key is sent to be explained, but not in the URL", () => {
  const received: ExplainedRequest[] = [];
  const urls: (string | undefined)[] = [];
  const handler = entryPeerHandler({
    sync: notUsed,
    freeResults: notUsed,
    runChain: notUsed,
    keepOrigins: notUsed,
    recordOrigins: notUsed,
    permit: notUsed,
    reportRollout: notUsed,
    findOrigin: notUsed,
    explainRoute: (request) => {
      received.push(request);
      return { kind: "rejected", reason: "no route" };
    },
  });
  return withServer((req, res) => {
    urls.push(req.url);
    handler(req, res);
  }, async (url, clients) => {
    const answer = await clients.explainRoute(url, REQUEST, TIMEOUT_MS);
    assert.deepEqual(answer, { kind: "rejected", reason: "no route" });
    assert.deepEqual(received, [{ ...REQUEST, promptParts: [] }]);
    assert.deepEqual(urls, ["/explainRoute"]);
  });
});

test("an entry of a build without the call is told from one that fails", async () => {
  const router = initTRPC.create().router({});
  await withServer(createHTTPHandler({ router }), async (url, clients) => {
    await assert.rejects(
      clients.explainRoute(url, REQUEST, TIMEOUT_MS),
      UnsupportedCallError,
    );
  });
  await withServer((_req, res) => res.writeHead(404).end("none"), async (
    url,
    clients,
  ) => {
    await assert.rejects(
      clients.explainRoute(url, REQUEST, TIMEOUT_MS),
      (err) => !(err instanceof UnsupportedCallError),
    );
  });
});
