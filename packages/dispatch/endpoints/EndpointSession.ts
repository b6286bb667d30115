import type { Clock } from '../../common/Clock';
import { formatError } from '../../common/formatError';
import { waitWithTimeout } from '../../common/waitWithTimeout';
import { waitForDelay } from '../../common/waitForDelay';
import { computeMaxLeaseMs } from '../../leadership/computeMaxLeaseMs';
import { leaderTimings } from '../../leadership/leaderTimings';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from './EndpointState';
import type { EndpointClient } from './EndpointClient';
import type { PollResult } from './PollResult';

type StatusResult = Extract<PollResult, { kind: 'held' }>;

interface EndpointSessionOptions {
  readonly endpoint: EndpointState;
  readonly client: EndpointClient;
  readonly clock: Clock;
  /** Returns true while this leader may grant leases. */
  readonly canGrantLeases: () => boolean;
  /** Called when the incarnation has responded to a poll that was sent at `sentAt`. Returns false when its status must be ignored. */
  readonly handleResponse: (sentAt: number) => boolean;
  /**
   * Called when another incarnation of the endpoint than the polled one has responded, with the length of the lease that the poll carried, if any, in
   * milliseconds.
   */
  readonly handleOtherIncarnation: (
    incarnation: EndpointIncarnation,
    sentAt: number,
    leaseMs: number | undefined,
  ) => void;
  /**
   * Applies a status; resolves once its ends are durable. Rejects when this leader has lost its leadership. A status repeats an end until it is
   * acknowledged; `newEndCount` of its ends are new.
   */
  readonly handleStatus: (result: StatusResult, sentAt: number, newEndCount: number) => Promise<void>;
  /** Called for each poll of the loop without a response. */
  readonly handleUnreachable: (detail: string) => void;
  /** Called when the incarnation has ended, as its address belongs to another endpoint. The session has stopped. */
  readonly handleIncarnationGone: () => void;
  /** Called when the endpoint has seen the token of a newer leader. The session has stopped. */
  readonly handleNewerLeader: () => void;
}

/** Longest time that an endpoint may delay its response to a poll until a run ends. */
const POLL_WAIT_MS = 400;
/** Longest time that an endpoint may delay its response to a poll while no task runs on it. */
const IDLE_POLL_WAIT_MS = 1000;
/** Time limit for a response, in addition to the time that the endpoint may delay it. */
const RESPONSE_TIMEOUT_MS = 300;
/** Upper bound of the time limit for a response, which doubles with each consecutive failed poll. */
const MAX_RESPONSE_TIMEOUT_MS = 1200;
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 500;
/**
 * Longest wait for ends to be durable before the next poll. Polls continue while the log is unavailable, so that the lease doesn't expire. Each
 * response then comes at once, with the same ends, so that the wait has to space the polls.
 */
const MAX_DURABLE_WAIT_MS = POLL_WAIT_MS;

/**
 * Renews the lease of one incarnation of an endpoint and follows its status, by one long poll at a time that returns when a run ends. Ends are
 * acknowledged only once they are durable. An unreachable endpoint gets no new lease, so that the time by which its runs have ended stays known.
 */
export class EndpointSession {
  /** Sequence number up to which all ends are durable, so that the next poll may acknowledge them. */
  private lastDurableEnd = 0;
  /** Highest sequence number of an end that a status has listed. */
  private lastReceivedEnd = 0;
  private isStopped = false;
  private isExtraPollPending = false;
  /** Number of consecutive polls with no response, or with a response from another incarnation. */
  private failedPollCount = 0;
  /** True when this incarnation responded to the newest poll of the loop: the connection leads to it. */
  private isConnected = false;

  constructor(private readonly options: EndpointSessionOptions) {}

  /**
   * Sends one poll outside of the loop, which renews no lease and acknowledges nothing, and applies the status: the response to the pending poll of
   * the loop may not show the newest changes. Does nothing while another such poll is pending, or once the session has stopped.
   */
  async sendExtraPoll(): Promise<void> {
    if (this.isStopped || this.isExtraPollPending) {
      return;
    }
    this.isExtraPollPending = true;
    const sentAt = this.options.clock.getNow();
    const { client } = this.options;
    const result = await client.sendPoll({
      acknowledgedUpTo: 0,
      leaseMs: undefined,
      waitMs: 0,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      isExtra: true,
    });
    this.isExtraPollPending = false;
    if (!this.isStopped && result.kind === 'otherLife') {
      this.options.handleOtherIncarnation(result.incarnation, sentAt, undefined);
    }
    // Only the poll loop handles missing responses and acknowledges ends.
    if (!this.isStopped && result.kind === 'held' && this.options.handleResponse(sentAt)) {
      await this.applyStatus(result, sentAt)?.catch(() => undefined);
    }
  }

  /** Polls until `stop` is called, the incarnation has ended, or the leadership is lost. */
  async runPollLoop(): Promise<void> {
    while (!this.isStopped) {
      await this.runPoll();
    }
  }

  /** Stops the polls, and the client. */
  stop(): void {
    this.isStopped = true;
    void this.options.client.stop();
  }

  /** Returns the sequence number up to which all ends are durable, so that the next poll may acknowledge them; 0 when none are. */
  getLastDurableEnd(): number {
    return this.lastDurableEnd;
  }

  getClient(): EndpointClient {
    return this.options.client;
  }

  /**
   * Sends one poll of the loop and handles its result. The poll renews the lease only while the endpoint responds, over the connection of its last
   * response, and while this leader may grant leases.
   * Only while the endpoint responds may it delay its response until a run ends.
   */
  private async runPoll(): Promise<void> {
    const { client, clock, endpoint, canGrantLeases } = this.options;
    const isUnreachable = endpoint.getUnreachableSince() !== undefined;
    const isResponding = endpoint.isSynced() && !isUnreachable;
    // Another incarnation may respond on a new connection. It must not take a lease by this one's clock, nor forget ends that it hasn't listed.
    const isConnected = isResponding && this.isConnected;
    const leaseMs = isConnected && canGrantLeases() ? leaderTimings.leaseMs : undefined;
    const usualWaitMs = endpoint.countRuns() === 0 ? IDLE_POLL_WAIT_MS : POLL_WAIT_MS;
    const waitMs = isResponding ? usualWaitMs : 0;
    const sentAt = clock.getNow();
    if (leaseMs !== undefined) {
      this.recordLease(sentAt);
    }
    const acknowledgedUpTo = isUnreachable || !this.isConnected ? 0 : this.lastDurableEnd;
    endpoint.recordPollSent();
    const result = await client.sendPoll({
      acknowledgedUpTo,
      isSameConnectionOnly: acknowledgedUpTo > 0 || leaseMs !== undefined,
      leaseMs,
      waitMs,
      timeoutMs: waitMs + Math.min(MAX_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_MS * 2 ** this.failedPollCount),
    });
    if (!this.isStopped) {
      await this.handlePollResult(result, sentAt, leaseMs);
    }
  }

  /** Records a lease that is sent to the endpoint at `sentAt`: the lease is assumed to arrive, and its recorded end allows for clock drift. */
  recordLease(sentAt: number): void {
    this.options.endpoint.recordLease(sentAt + computeMaxLeaseMs(leaderTimings.leaseMs));
  }

  private async handlePollResult(
    result: PollResult,
    sentAt: number,
    leaseMs: number | undefined,
  ): Promise<void> {
    this.isConnected = result.kind === 'held';
    switch (result.kind) {
      case 'held':
        await this.handleStatus(result, sentAt);
        return;
      case 'fenced':
        this.isStopped = true;
        this.options.handleNewerLeader();
        return;
      case 'gone':
        this.stop();
        this.options.handleIncarnationGone();
        return;
      case 'otherLife':
        this.options.handleOtherIncarnation(result.incarnation, sentAt, leaseMs);
        await this.waitForRetry();
        return;
      case 'disconnected':
        return;
      case 'unanswered':
        this.options.handleUnreachable(result.detail);
        await this.waitForRetry();
        return;
    }
  }

  /** Counts a failed poll, and waits before the next one, longer after each failure. */
  private async waitForRetry(): Promise<void> {
    this.failedPollCount += 1;
    await waitForDelay(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * (this.failedPollCount - 1)));
  }

  /** Applies the status unless it must be ignored, and waits for its ends to be durable, for a limited time. */
  private async handleStatus(result: StatusResult, sentAt: number): Promise<void> {
    this.failedPollCount = 0;
    if (!this.options.handleResponse(sentAt)) {
      return;
    }
    const durable = this.applyStatus(result, sentAt);
    if (durable === undefined) {
      await this.waitForRetry();
      return;
    }
    await waitWithTimeout(this.waitForDurableEnds(result, durable), MAX_DURABLE_WAIT_MS, undefined);
  }

  /** Waits until the ends of a status are durable, so that the next poll acknowledges them. Stops polling when the leadership is lost. */
  private async waitForDurableEnds(result: StatusResult, durable: Promise<void>): Promise<void> {
    try {
      await durable;
    } catch {
      this.isStopped = true;
      return;
    }
    this.lastDurableEnd = this.getNewestEndNumber(result, this.lastDurableEnd);
  }

  /**
   * Passes a status on with the number of its ends that no earlier status has listed. The result resolves once its ends are durable; undefined
   * for a status that can't be applied, which counts as no response.
   */
  private applyStatus(result: StatusResult, sentAt: number): Promise<void> | undefined {
    const newEndCount = result.ended.filter(({ number }) => number > this.lastReceivedEnd).length;
    this.lastReceivedEnd = this.getNewestEndNumber(result, this.lastReceivedEnd);
    try {
      return this.options.handleStatus(result, sentAt, newEndCount);
    } catch (thrown) {
      this.options.handleUnreachable(`status cannot be applied: ${formatError(thrown)}`);
      return undefined;
    }
  }

  /** Returns the highest sequence number among the ends of a status, and at least `atLeast`. */
  private getNewestEndNumber({ ended }: StatusResult, atLeast: number): number {
    return ended.reduce((newest, { number }) => Math.max(newest, number), atLeast);
  }
}
