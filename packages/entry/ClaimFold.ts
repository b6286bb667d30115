import type { ProcessId } from '../common/ProcessId';
import { toId } from '../common/toId';
import type { ClaimRecord } from './ClaimRecord';

interface Claim {
  readonly claimId: string;
  readonly process: ProcessId;
}

/** Keys remembered at most; the oldest are forgotten first, as the log forgets its oldest records. */
const MAX_KEYS = 100_000;

/** Folds the claims' stream: the first claim of a key in offset order holds it until it is given back. */
export class ClaimFold {
  private readonly holders = new Map<string, Claim>();
  private readonly keys = new Map<string, string>();
  private nextOffset = 0;
  private isTailRead = false;

  readNextOffset(): number {
    return this.nextOffset;
  }

  /** True once the stream was read to its end, so that no older claim is missing. */
  isCurrent(): boolean {
    return this.isTailRead;
  }

  readHolder(key: string): Claim | undefined {
    return this.holders.get(key);
  }

  /** Applies one record; the place in the stream moves behind it. */
  applyRecord(offset: number, record: ClaimRecord): void {
    this.nextOffset = offset + 1;
    for (const { key, claimId, process } of record.claims) {
      if (!this.holders.has(key)) {
        this.holders.set(key, { claimId, process: toId<ProcessId>(process) });
        this.keys.set(claimId, key);
      }
    }
    for (const claimId of record.released) {
      this.revokeClaim(claimId);
    }
    this.revokeOldest();
  }

  /** Records how far the log reached as it answered. */
  applyTail(first: number, tail: number): void {
    this.nextOffset = Math.max(this.nextOffset, first);
    this.isTailRead = this.isTailRead || this.nextOffset >= tail;
  }

  private revokeClaim(claimId: string): void {
    const key = this.keys.get(claimId);
    if (key !== undefined) {
      this.keys.delete(claimId);
      this.holders.delete(key);
    }
  }

  private revokeOldest(): void {
    for (const [key, claim] of this.holders) {
      if (this.holders.size <= MAX_KEYS) {
        return;
      }
      this.holders.delete(key);
      this.keys.delete(claim.claimId);
    }
  }
}
