import type { ServerResponse } from 'node:http';

const CHUNK_BYTES = 8192;
const BITS_PER_BYTE = 8;
/** One megabit a second in bits a millisecond. */
const BITS_PER_MS = 1000;

/** A link of limited rate, shared by all that passes it in turn, chunk by chunk. */
export class NarrowLink {
  private freeAt = 0;
  private bytesPerMs = Infinity;

  /** Sets the rate in megabits a second; Infinity for no limit. */
  applyRate(megabits: number): void {
    this.bytesPerMs = (megabits * BITS_PER_MS) / BITS_PER_BYTE;
  }

  /** Resolves once so many bytes have passed. */
  async startPassing(bytes: number): Promise<void> {
    if (this.bytesPerMs === Infinity) {
      return;
    }
    const now = performance.now();
    this.freeAt = Math.max(now, this.freeAt) + bytes / this.bytesPerMs;
    await new Promise((resolve) => setTimeout(resolve, this.freeAt - now));
  }

  /** Sends a whole answer at the link's rate. What is left is dropped when the reader goes away. */
  async sendAnswer(response: ServerResponse, body: Buffer, contentType: string): Promise<void> {
    response.writeHead(200, { 'content-type': contentType, 'content-length': body.length });
    for (let start = 0; start < body.length && !response.destroyed; start += CHUNK_BYTES) {
      const chunk = body.subarray(start, start + CHUNK_BYTES);
      await this.startPassing(chunk.length);
      response.write(chunk);
    }
    response.end();
  }
}
