import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { Metrics } from "../telemetry/mod.ts";
import { KeyStore, type PemTexts, type TlsFiles } from "../tls/mod.ts";
import { TestAuthority } from "../launch/test_authority.ts";
import { Connections, createPeerRouter, TrpcPeerClient } from "../wire/mod.ts";
import { createControlApp } from "./control.ts";
import { listen, type ListeningServer } from "./server.ts";

/** Time within which an idle server has to close, in milliseconds. */
const CLOSE_MS = 2_000;

const STATE = {
  process: "p",
  domain: "d",
  listsVersion: 3,
  confirmedAgeMs: 0,
  standing: "confirmed",
  ready: true,
} as const;

const write = (files: TlsFiles, texts: PemTexts) => {
  writeFileSync(files.certFile, texts.cert);
  writeFileSync(files.keyFile, texts.key);
  writeFileSync(files.caFile, texts.ca);
};

const storeOf = (texts: PemTexts) => {
  const dir = mkdtempSync(join(tmpdir(), "cassiapost-control-"));
  const files = {
    certFile: join(dir, "cert.pem"),
    keyFile: join(dir, "key.pem"),
    caFile: join(dir, "ca.pem"),
  };
  write(files, texts);
  return { files, keys: KeyStore.open(files).unwrap() };
};

const serveWith = (keys: KeyStore) =>
  listen(
    createControlApp({
      router: createPeerRouter({
        peerState: () => STATE,
        listsSince: () => null,
        exchange: () => ({
          state: STATE,
          update: null,
          domains: [],
          peers: [],
        }),
      }),
      metrics: new Metrics(),
      isReady: () => true,
    }),
    { address: "127.0.0.1", port: 0, keys },
  );

const clientOf = (server: ListeningServer, keys: KeyStore) =>
  new TrpcPeerClient(
    `https://127.0.0.1:${server.port}`,
    new Connections(keys),
  );

const statusOf = async (server: ListeningServer, path: string, ca: string) => {
  const dispatcher = new Agent({ connect: { ca } });
  const url = `https://127.0.0.1:${server.port}${path}`;
  const res = await request(url, { dispatcher });
  await res.body.dump();
  await dispatcher.close();
  return res.statusCode;
};

test("createControlApp() serves peers only with a certificate and health to all", async () => {
  // Fails when requirePeerCertificate() lets every client through.
  const authority = await TestAuthority.create();
  const { keys } = storeOf(await authority.issue());
  const server = await serveWith(keys);
  const client = clientOf(server, storeOf(await authority.issue()).keys);
  assert.equal((await client.peerState()).listsVersion, 3);
  const { ca } = keys.current;
  assert.equal(await statusOf(server, "/healthz", ca), 200);
  assert.equal(await statusOf(server, "/readyz", ca), 200);
  assert.equal(await statusOf(server, "/metrics", ca), 403);
  assert.equal(await statusOf(server, "/trpc/peerState", ca), 403);
  await client.close();
  await server.close();
});

test("createControlApp() rejects a certificate of another authority", async () => {
  const authority = await TestAuthority.create();
  const otherAuthority = await TestAuthority.create();
  const own = await authority.issue();
  const foreign = await otherAuthority.issue();
  const server = await serveWith(storeOf(own).keys);
  const client = clientOf(server, storeOf({ ...foreign, ca: own.ca }).keys);
  await assert.rejects(client.peerState());
  await client.close();
  await server.close();
});

test("listen() and its clients apply a certificate rotation without a restart", async () => {
  // Fails when listen() does not set the secure context on a rotation.
  const old = await TestAuthority.create();
  const next = await TestAuthority.create();
  const { files, keys } = storeOf(await old.issue());
  const server = await serveWith(keys);
  const before = clientOf(server, keys);
  await before.peerState();
  await before.close();
  write(files, await next.issue());
  assert.equal(keys.reload().unwrap(), true);
  const after = clientOf(server, keys);
  assert.equal((await after.peerState()).process, "p");
  const stale = clientOf(server, storeOf(await old.issue()).keys);
  await assert.rejects(stale.peerState());
  await Promise.all([after.close(), stale.close()]);
  await server.close();
});

// Guards against a stop that waits for a connection without a TLS handshake.
test("ListeningServer.close() does not wait for a silent connection with TLS", async () => {
  const authority = await TestAuthority.create();
  const server = await serveWith(storeOf(await authority.issue()).keys);
  const socket = connect(server.port, "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  const isClosed = await Promise.race([
    server.close().then(() => true),
    sleep(CLOSE_MS, undefined, { ref: false }).then(() => false),
  ]);
  socket.destroy();
  assert.equal(isClosed, true);
});
