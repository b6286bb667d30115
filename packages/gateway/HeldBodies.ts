import type { HeldBody } from './HeldBody';

/** Bodies that a listener holds, within a limit of bytes. */
export class HeldBodies {
  /** Bodies that are being read, the oldest first. */
  private readonly incomplete = new Set<HeldBody>();
  private readonly complete = new Set<HeldBody>();
  private heldBytes = 0;

  constructor(private readonly maxBytes: number) {}

  addBody(cancel: () => void): HeldBody {
    const body = { bytes: 0, cancel };
    this.incomplete.add(body);
    return body;
  }

  /**
   * Reserves further bytes for a body that is being read. Beyond the limit, cancels the bodies that have been read for longer than this one, since those
   * of ordinary clients arrive soon. Returns false if that doesn't suffice.
   */
  reserveBytes(body: HeldBody, bytes: number): boolean {
    while (this.heldBytes + bytes > this.maxBytes) {
      const [oldest] = this.incomplete;
      if (oldest === undefined || oldest === body) {
        return false;
      }
      this.releaseBody(oldest);
      oldest.cancel();
    }
    body.bytes += bytes;
    this.heldBytes += bytes;
    return true;
  }

  /** Records that a body has been read. */
  recordComplete(body: HeldBody): void {
    if (this.incomplete.delete(body)) {
      this.complete.add(body);
    }
  }

  /** Releases the bytes of a body. Does nothing for one that has been released. */
  releaseBody(body: HeldBody): void {
    const isHeld = this.incomplete.delete(body) || this.complete.delete(body);
    this.heldBytes -= isHeld ? body.bytes : 0;
  }
}
