import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ByteBuffer } from "./byte_buffer.ts";

test("ByteBuffer.append() joins chunks and leaves earlier bytes alone", () => {
  const chunk = fc.uint8Array({ maxLength: 5_000 });
  fc.assert(fc.property(fc.array(chunk), (chunks) => {
    const buffer = new ByteBuffer();
    const views = chunks.map((bytes) => {
      buffer.append(Buffer.from(bytes));
      return buffer.bytes;
    });
    const all = Buffer.concat(chunks);
    assert.deepEqual(buffer.bytes, all);
    views.forEach((view) =>
      assert.deepEqual(view, all.subarray(0, view.length))
    );
  }));
});
