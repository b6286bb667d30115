import type { Clock } from '../../common/Clock';
import { startBounded } from '../../common/startBounded';
import { startDelay } from '../../common/startDelay';
import { leaderTimings } from '../../leadership/leaderTimings';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from './EndpointState';
import type { EndpointClient } from './EndpointClient';
import type { PollResult } from './PollResult';

type Held = Extract<PollResult, { kind: 'held' }>;

interface EndpointSessionOptions {
  readonly book: EndpointState;
  readonly client: EndpointClient;
  readonly clock: Clock;
  /** True while this leader may give leases. */
  readonly isRenewing: () => boolean;
  /** The life has answered a look that was sent at a time. False when the answer must not be taken in. */
  readonly handleAnswered: (sentAt: number) => boolean;
  /** Another life of the endpoint has answered a look that was sent at a time. */
  readonly handleOtherLife: (life: EndpointIncarnation, sentAt: number) => void;
  /**
   * Takes an answer in; resolves once the ends in it are durable. Rejects when this leader is deposed. An end comes again with
   * each answer until it has been acknowledged; `newEndCount` of them come for the first time.
   */
  readonly handleHeld: (answer: Held, sentAt: number, newEndCount: number) => Promise<void>;
  readonly handleSilence: (detail: string) => void;
  readonly handleGone: () => void;
  readonly handleFenced: () => void;
}

/** Short, because an end is not heard of while the answer to a look is lost. */
const LOOK_WAIT_MS = 400;
/** Where nothing runs there is no end to miss. */
const IDLE_LOOK_WAIT_MS = 1000;
/** Beyond the wait. A look that is given up too soon costs another; one given up late, all that is placed there meanwhile. */
const ANSWER_TIMEOUT_MS = 300;
/** The time limit doubles with each look without an answer, up to this: an endpoint may be slow and yet work. */
const MAX_ANSWER_TIMEOUT_MS = 1200;
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 500;
/**
 * Longest wait for an end to be durable before the next look. While the log is out the looks go on and renew the lease, else all
 * that runs beside one end is killed after 4 s; each of them brings the same end again, so they are spaced like usual looks.
 */
const DURABLE_WAIT_MS = LOOK_WAIT_MS;

/**
 * Keeps one life of an endpoint leased and watched: one long poll at a time, which answers as soon as a run ends.
 * An end is acknowledged only once it is durable, which may take several looks. An endpoint that does not answer is looked at without
 * a new lease, so that the time by which all its work has ended stays known.
 */
export class EndpointSession {
  /** Ends up to this number are durable. */
  private lastSeen = 0;
  /** Ends up to this number have been taken in. */
  private lastTaken = 0;
  private isStopped = false;
  private isLookingExtra = false;
  private failures = 0;
  /** The newest look of the loop was answered by the life, so that its connection leads there. */
  private isLifeConnected = false;

  constructor(private readonly options: EndpointSessionOptions) {}

  /** Looks once beside the loop, without a lease: for something that the look under way cannot show any more. */
  async sendExtraPoll(): Promise<void> {
    if (this.isStopped || this.isLookingExtra) {
      return;
    }
    this.isLookingExtra = true;
    const sentAt = this.options.clock.readNow();
    const { client } = this.options;
    const answer = await client.sendPoll({
      lastSeen: 0,
      leaseMs: undefined,
      waitMs: 0,
      timeoutMs: ANSWER_TIMEOUT_MS,
      isExtra: true,
    });
    this.isLookingExtra = false;
    if (!this.isStopped && answer.kind === 'otherLife') {
      this.options.handleOtherLife(answer.life, sentAt);
    }
    // Silence is the loop's to judge, and ends are the loop's to acknowledge.
    if (!this.isStopped && answer.kind === 'held' && this.options.handleAnswered(sentAt)) {
      await this.sendHeld(answer, sentAt).catch(() => undefined);
    }
  }

  /** Runs until `stop`, or until the endpoint's life is over. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.sendLook();
    }
  }

  stop(): void {
    this.isStopped = true;
    void this.options.client.stop();
  }

  /** Ends up to this number have been acknowledged. */
  readAcknowledged(): number {
    return this.lastSeen;
  }

  readClient(): EndpointClient {
    return this.options.client;
  }

  private async sendLook(): Promise<void> {
    const { client, clock, book, isRenewing } = this.options;
    const isSilent = book.getUnreachableSince() !== undefined;
    const isAnswering = book.isSynced() && !isSilent;
    const leaseMs = isAnswering && isRenewing() ? leaderTimings.leaseMs : undefined;
    const usualWaitMs = book.countRuns() === 0 ? IDLE_LOOK_WAIT_MS : LOOK_WAIT_MS;
    const waitMs = isAnswering ? usualWaitMs : 0;
    const sentAt = clock.readNow();
    if (leaseMs !== undefined) {
      this.recordLease(sentAt);
    }
    // Another life may answer after a silence, and on any new connection. It must not forget ends that it has not listed, or tasks
    // that are done would run again.
    const lastSeen = isSilent || !this.isLifeConnected ? 0 : this.lastSeen;
    const answer = await client.sendPoll({
      lastSeen,
      isContinued: lastSeen > 0,
      leaseMs,
      waitMs,
      timeoutMs: waitMs + Math.min(MAX_ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_MS * 2 ** this.failures),
    });
    if (!this.isStopped) {
      await this.handleAnswer(answer, sentAt);
    }
  }

  /** Notes a lease given at a time, whether or not it arrives. */
  recordLease(sentAt: number): void {
    const { leaseMs, clockDriftShare, marginMs } = leaderTimings;
    this.options.book.recordLease(sentAt + leaseMs * (1 + clockDriftShare) + marginMs);
  }

  private async handleAnswer(answer: PollResult, sentAt: number): Promise<void> {
    this.isLifeConnected = answer.kind === 'held';
    switch (answer.kind) {
      case 'held':
        await this.handleHeld(answer, sentAt);
        return;
      case 'fenced':
        this.isStopped = true;
        this.options.handleFenced();
        return;
      case 'gone':
        this.stop();
        this.options.handleGone();
        return;
      case 'otherLife':
        this.options.handleOtherLife(answer.life, sentAt);
        await this.startRetryDelay();
        return;
      case 'disconnected':
        return;
      case 'unanswered':
        this.options.handleSilence(answer.detail);
        await this.startRetryDelay();
        return;
    }
  }

  private async startRetryDelay(): Promise<void> {
    this.failures += 1;
    await startDelay(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * (this.failures - 1)));
  }

  private async handleHeld(answer: Held, sentAt: number): Promise<void> {
    this.failures = 0;
    if (!this.options.handleAnswered(sentAt)) {
      return;
    }
    const noted = this.startNoting(answer, sentAt);
    await startBounded(noted, DURABLE_WAIT_MS, undefined);
  }

  /** Takes an answer in, and acknowledges its ends once they are durable. */
  private async startNoting(answer: Held, sentAt: number): Promise<void> {
    try {
      await this.sendHeld(answer, sentAt);
    } catch {
      this.isStopped = true;
      return;
    }
    this.lastSeen = this.readNewestEnd(answer, this.lastSeen);
  }

  private sendHeld(answer: Held, sentAt: number): Promise<void> {
    const newEndCount = answer.ended.filter(({ number }) => number > this.lastTaken).length;
    this.lastTaken = this.readNewestEnd(answer, this.lastTaken);
    return this.options.handleHeld(answer, sentAt, newEndCount);
  }

  private readNewestEnd({ ended }: Held, atLeast: number): number {
    return ended.reduce((newest, { number }) => Math.max(newest, number), atLeast);
  }
}
