import type { ServerResponse } from 'node:http';

const TRANSFER_CHUNK_BYTES = 8192;
const BITS_PER_BYTE = 8;
/** Bits per millisecond at one megabit per second. */
const BITS_PER_MS = 1000;

/** Network link with a limited rate, which requests and responses share chunk by chunk. */
export class RateLimitedLink {
  /** Monotonic time at which the link has transferred everything queued so far, in milliseconds. */
  private transfersEndAt = 0;
  private bytesPerMs = Infinity;

  /** Sets the rate in megabits per second; Infinity for no limit. */
  setRate(megabits: number): void {
    this.bytesPerMs = (megabits * BITS_PER_MS) / BITS_PER_BYTE;
  }

  /** Waits until the link has transferred all bytes queued before and these; returns at once without a limit. */
  async waitForTransfer(bytes: number): Promise<void> {
    if (this.bytesPerMs === Infinity) {
      return;
    }
    const now = performance.now();
    this.transfersEndAt = Math.max(now, this.transfersEndAt) + bytes / this.bytesPerMs;
    await new Promise((resolve) => setTimeout(resolve, this.transfersEndAt - now));
  }

  /** Sends a response at the link's rate, until the reader disconnects. */
  async sendResponse(response: ServerResponse, body: Buffer, contentType: string): Promise<void> {
    response.writeHead(200, { 'content-type': contentType, 'content-length': body.length });
    for (let start = 0; start < body.length && !response.destroyed; start += TRANSFER_CHUNK_BYTES) {
      const chunk = body.subarray(start, start + TRANSFER_CHUNK_BYTES);
      await this.waitForTransfer(chunk.length);
      response.write(chunk);
    }
    response.end();
  }
}
