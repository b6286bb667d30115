import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { waitForDelay } from '../common/waitForDelay';
import { formatPlatformError } from '../platform/formatPlatformError';
import type { LogPage } from '../platform/LogPage';
import type { PlatformClient } from '../platform/PlatformClient';
import { StreamReader } from '../platform/StreamReader';
import { streams } from '../platform/streams';
import type { ClaimAnswer } from './ClaimAnswer';
import { ClaimFold } from './ClaimFold';
import type { ClaimRecord } from './ClaimRecord';
import type { EntryContext } from './EntryContext';

interface WaitingClaim {
  readonly key: string;
  readonly claimId: string;
  readonly handleAnswer: (answer: ClaimAnswer) => void;
}

const claimSchema = z.object({
  kind: z.literal('claims'),
  claims: z.array(z.object({ key: z.string(), claimId: z.string(), process: z.string() })),
  released: z.array(z.string()),
});
const EMPTY: ClaimRecord = { kind: 'claims', claims: [], released: [] };
const POLL_MS = 10;
/** Most claims in one append. */
const GROUP_LIMIT = 500;

/**
 * Claims idempotency keys of unrepeatable requests in the log, many in one append. A key that may have been claimed
 * by an append without an answer is not used; if the claim shows up later it is given back.
 */
export class ClaimController {
  private readonly fold = new ClaimFold();
  private readonly reader: StreamReader;
  private readonly stream;
  private waiting: WaitingClaim[] = [];
  private releasing: string[] = [];
  private isAppending = false;
  private isLogAnswering = false;
  private readonly abandoned = new Set<string>();

  constructor(
    private readonly context: EntryContext,
    private readonly client: PlatformClient,
  ) {
    this.stream = streams.toClaimStream(context.settings.cell);
    this.reader = new StreamReader({
      client,
      stream: this.stream,
      waitMs: context.settings.timings.tablePollMs,
      random: context.random,
      readNextOffset: () => this.fold.readNextOffset(),
      handlePage: (page) => this.handlePage(page),
      handleError: () => {
        this.isLogAnswering = false;
      },
    });
  }

  start(): void {
    void this.reader.start();
  }

  stop(): void {
    this.reader.stop();
  }

  /** Claims a key. Resolves when the log has decided, or cannot be asked. */
  claimKey(key: string): Promise<ClaimAnswer> {
    const holder = this.fold.readHolder(key);
    if (holder !== undefined) {
      return Promise.resolve({ kind: 'taken', process: holder.process });
    }
    if (!this.fold.isCurrent() || !this.isLogAnswering) {
      return Promise.resolve({ kind: 'unavailable', reason: 'the log of claims does not answer' });
    }
    return new Promise((resolve) => {
      this.waiting.push({ key, claimId: randomUUID(), handleAnswer: resolve });
      void this.sendGroup();
    });
  }

  /** Gives a claim back, because its request was certainly not run. */
  revokeClaim(claimId: string): void {
    this.releasing.push(claimId);
    void this.sendGroup();
  }

  /** Appends all that waits in one record; what comes meanwhile goes into the next. */
  private async sendGroup(): Promise<void> {
    if (this.isAppending) {
      return;
    }
    this.isAppending = true;
    while (this.waiting.length > 0 || this.releasing.length > 0) {
      const group = this.waiting.splice(0, GROUP_LIMIT);
      const released = this.releasing.splice(0, GROUP_LIMIT);
      const claims = group.map(({ key, claimId }) => ({ key, claimId, process: this.context.process }));
      const appended = await this.client.appendRecord(this.stream, { ...EMPTY, claims, released });
      if (appended.ok) {
        void this.handleAppended(group, appended.value);
      } else {
        void this.handleUnanswered(group, formatPlatformError(appended.error));
        this.releasing.push(...(this.isLogAnswering ? released : []));
        await waitForDelay(POLL_MS * 10);
      }
    }
    this.isAppending = false;
  }

  private async handleAppended(group: readonly WaitingClaim[], offset: number): Promise<void> {
    const isRead = await this.startWait(() => this.fold.readNextOffset() > offset);
    if (isRead) {
      this.handleDecided(group);
    } else {
      this.handleLost(group, 'the claim could not be read back');
    }
  }

  /** The append may have landed: it is looked for before it is given up. */
  private async handleUnanswered(group: readonly WaitingClaim[], reason: string): Promise<void> {
    const isHeld = ({ key }: WaitingClaim) => this.fold.readHolder(key) !== undefined;
    const isFound = this.isLogAnswering && (await this.startWait(() => group.every(isHeld)));
    if (isFound) {
      this.handleDecided(group);
    } else {
      this.handleLost(group, reason);
    }
  }

  /** Waits for a change of the fold, at most the platform's time-out. Returns whether it came. */
  private async startWait(isDone: () => boolean): Promise<boolean> {
    const until = this.context.clock.getNow() + this.context.settings.timings.platformTimeoutMs;
    while (!isDone() && this.context.clock.getNow() < until) {
      await waitForDelay(POLL_MS);
    }
    return isDone();
  }

  private handleDecided(group: readonly WaitingClaim[]): void {
    for (const { key, claimId, handleAnswer } of group) {
      const holder = this.fold.readHolder(key);
      const isOurs = holder?.claimId === claimId;
      const process = holder?.process ?? this.context.process;
      handleAnswer(isOurs ? { kind: 'claimed', claimId } : { kind: 'taken', process });
    }
  }

  /** The append may land late: its claims are never used, and given back when they show up. */
  private handleLost(group: readonly WaitingClaim[], reason: string): void {
    for (const { key, claimId, handleAnswer } of group) {
      if (this.fold.readHolder(key)?.claimId === claimId) {
        this.revokeClaim(claimId);
      } else {
        this.abandoned.add(claimId);
      }
      handleAnswer({ kind: 'unavailable', reason });
    }
  }

  private handlePage(page: LogPage): void {
    this.isLogAnswering = true;
    this.fold.applyTail(page.first, Infinity);
    for (const { offset, value } of page.records) {
      const parsed = claimSchema.safeParse(value);
      const record = parsed.success ? parsed.data : EMPTY;
      this.fold.applyRecord(offset, record);
      this.revokeAbandoned(record);
    }
    this.fold.applyTail(page.first, page.tail);
  }

  private revokeAbandoned(record: ClaimRecord): void {
    for (const { claimId } of record.claims) {
      if (this.abandoned.delete(claimId)) {
        this.revokeClaim(claimId);
      }
    }
  }
}
