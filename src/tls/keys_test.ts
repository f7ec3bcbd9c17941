import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { KeyStore, type TlsFiles } from "./keys.ts";
import { checkMaterial, type PemTexts } from "./material.ts";
import { TestAuthority } from "../launch/test_authority.ts";

const authority = await TestAuthority.create();
const first = await authority.issue();
const second = await authority.issue();

const writeFiles = (files: TlsFiles, texts: PemTexts) => {
  writeFileSync(files.certFile, texts.cert);
  writeFileSync(files.keyFile, texts.key);
  writeFileSync(files.caFile, texts.ca);
};

const filesWith = (texts: PemTexts): TlsFiles => {
  const dir = mkdtempSync(join(tmpdir(), "cassiapost-tls-"));
  const files = {
    certFile: join(dir, "cert.pem"),
    keyFile: join(dir, "key.pem"),
    caFile: join(dir, "ca.pem"),
  };
  writeFiles(files, texts);
  return files;
};

const pathsOf = (texts: PemTexts, now = Date.now()) => {
  const checked = checkMaterial(texts, now);
  return checked.isErr() ? checked.error.map(({ path }) => path) : [];
};

test("checkMaterial() accepts a certificate with its own key", () => {
  assert.deepEqual(pathsOf(first), []);
});

test("checkMaterial() rejects the key of another certificate", () => {
  assert.deepEqual(pathsOf({ ...first, key: second.key }), ["$.tls.keyFile"]);
});

test("checkMaterial() rejects an expired certificate", () => {
  const inTwoMonths = Date.now() + 60 * 24 * 3_600_000;
  assert.deepEqual(pathsOf(first, inTwoMonths), ["$.tls.certFile"]);
});

test("checkMaterial() reports every text that is not PEM", () => {
  assert.deepEqual(pathsOf({ cert: "", key: "", ca: "" }), [
    "$.tls.certFile",
    "$.tls.keyFile",
    "$.tls.caFile",
  ]);
});

test("KeyStore.reload() applies a rotated certificate once", () => {
  const files = filesWith(first);
  const store = KeyStore.open(files).unwrap();
  const seen: string[] = [];
  store.onRotate(({ fingerprint }) => seen.push(fingerprint));
  writeFiles(files, second);
  assert.equal(store.reload().unwrap(), true);
  assert.equal(store.reload().unwrap(), false);
  assert.deepEqual(seen, [store.current.fingerprint]);
});

test("KeyStore.reload() keeps the old material while files are incomplete", () => {
  const files = filesWith(first);
  const store = KeyStore.open(files).unwrap();
  writeFileSync(files.certFile, second.cert);
  assert.equal(store.reload().isErr(), true);
  assert.equal(store.current.key, first.key);
});
