import { waitForDelay } from '../../common/waitForDelay';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import { ChannelState } from './ChannelState';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import { sendAdviceRequest } from './sendAdviceRequest';
import { ShortRequestReserve } from './ShortRequestReserve';

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;
type Tickets = ReadonlyMap<EndpointIncarnation, string> | undefined;

/** A request as sent over one channel. */
interface Attempt {
  readonly state: ChannelState;
  readonly response: Promise<Tickets>;
}

/** Time allowed for a response beyond the expected time. */
const TIMEOUT_MARGIN_MS = 1200;
/** Duration of a channel's quarantine after a late or missing response; a late response ends it. */
const QUARANTINE_MS = 2500;
/** Maximum number of attempts for a request. It is above 2 since the second channel may be in the same unreachable hall. */
const MAX_ATTEMPTS = 3;
/** Lower bound on the hedge delay, as a share of the expected time. */
const MIN_HEDGE_SHARE = 0.5;
/** Interval between probes of the service while all channels are quarantined. */
const PROBE_INTERVAL_MS = 100;

/**
 * Reserves the fastest channels for short requests, as many as these have recently used, and sends each request over the fastest channel
 * that is left. A request whose response is late is hedged: it is sent over another channel too, and the first response is used.
 */
export class HedgingBalancer implements AdviceBalancer {
  private readonly states = new Map<string, ChannelState>();
  /** Delays over all channels, for those without a response so far. */
  private readonly overall = new ChannelState();
  private readonly reserve = new ShortRequestReserve();
  /** Monotonic time of the latest failed attempt. */
  private failedAt = -Infinity;
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  getFreeSlots(): AdviceSlots {
    const free = this.listFree();
    return { all: free.length, long: Math.max(0, free.length - this.countReserved()) };
  }

  async sendRequest(request: AdviceRequest): Promise<void> {
    const requestedAt = this.options.clock.getNow();
    const first = this.startAttempt(request);
    const tickets = first && (await this.waitForResponse(request, first));
    if (this.isStopped) {
      return;
    }
    const now = this.options.clock.getNow();
    if (!request.isLongRequest) {
      this.reserve.recordRequest(now - requestedAt, now);
    }
    this.options.handleResponse(request, tickets, Math.round(now - requestedAt));
  }

  /** Discards the responses of pending requests. */
  stop(): void {
    this.isStopped = true;
  }

  /** Resolves to the first response, and starts another attempt each time the latest one is late or has failed. */
  private async waitForResponse(request: AdviceRequest, first: Attempt): Promise<Tickets> {
    const attempts = [first];
    for (let latest = first; ;) {
      const lateMs = request.expectedResponseMs + this.computeHedgeDelayMs(request, latest);
      const tickets = await Promise.race([this.waitForFirstResponse(attempts), waitForDelay(lateMs)]);
      if (tickets !== undefined || this.isStopped) {
        return tickets ?? undefined;
      }
      latest.state.recordLate(this.options.clock.getNow() + QUARANTINE_MS);
      const next = attempts.length < MAX_ATTEMPTS ? this.startAttempt(request) : undefined;
      if (next === undefined) {
        return this.waitForFirstResponse(attempts);
      }
      attempts.push(next);
      latest = next;
    }
  }

  /** Returns how long after the expected time an attempt is hedged. Long requests wait longer, since a hedge doubles their cost. */
  private computeHedgeDelayMs({ expectedResponseMs }: AdviceRequest, { state }: Attempt): number {
    return Math.max(
      state.computeHedgeDelayMs(this.overall.computeHedgeDelayMs()),
      expectedResponseMs * MIN_HEDGE_SHARE,
    );
  }

  /** Resolves to the first response; to undefined once all attempts have failed. */
  private async waitForFirstResponse(attempts: readonly Attempt[]): Promise<Tickets> {
    const responses = attempts.map(
      async (attempt) => (await attempt.response) ?? Promise.reject(new Error('no answer')),
    );
    return Promise.any(responses).catch(() => undefined);
  }

  /** Sends the request over the fastest channel that it may use; returns undefined when none is free. */
  private startAttempt(request: AdviceRequest): Attempt | undefined {
    const free = this.listFree();
    const index = request.isLongRequest ? Math.min(this.countReserved(), free.length - 1) : 0;
    const channel = free[index];
    if (channel === undefined) {
      return undefined;
    }
    const state = this.getState(channel);
    return { state, response: this.sendAttempt(request, channel, state) };
  }

  private async sendAttempt(
    request: AdviceRequest,
    channel: AdviceChannel,
    state: ChannelState,
  ): Promise<Tickets> {
    const { clock } = this.options;
    const requestedAt = clock.getNow();
    state.recordRequest(request.isLongRequest);
    const tickets = await sendAdviceRequest(channel, request, request.expectedResponseMs + TIMEOUT_MARGIN_MS);
    const now = clock.getNow();
    if (tickets === undefined) {
      state.recordFailure(now + QUARANTINE_MS);
      this.failedAt = now;
    } else {
      // All channels were quarantined, so the service had failed and not the channels.
      if (this.listHealthy(now).length === 0) {
        this.states.forEach((other) => other.clearQuarantine());
      }
      const delayMs = Math.max(0, now - requestedAt - request.expectedResponseMs);
      state.recordResponse(delayMs, now);
      this.overall.recordResponse(delayMs, now);
    }
    return tickets;
  }

  /**
   * Returns the channels that can send a request now, the fastest first. While all are quarantined, the service itself is assumed to fail:
   * one channel at a time probes it, instead of each waiting for the end of its quarantine.
   */
  private listFree(): readonly AdviceChannel[] {
    const now = this.options.clock.getNow();
    const channels = this.options.listChannels();
    const free = channels
      .filter((channel) => !this.getState(channel).isBusy())
      .sort(
        (left, right) => this.getState(left).estimateDelayMs(now) - this.getState(right).estimateDelayMs(now),
      );
    const healthy = free.filter((channel) => !this.getState(channel).isQuarantined(now));
    const isServiceFailing = free.length === channels.length && healthy.length === 0;
    const isProbeDue = isServiceFailing && now - this.failedAt >= PROBE_INTERVAL_MS;
    return isProbeDue ? free.slice(0, 1) : healthy;
  }

  /** Returns how many of the free channels are reserved for short requests, beside those with a short request now. */
  private countReserved(): number {
    const now = this.options.clock.getNow();
    const healthy = this.listHealthy(now);
    const usedCount = healthy.filter((channel) => this.getState(channel).hasShortRequest()).length;
    return Math.max(0, this.reserve.computeReserved(healthy.length, now) - usedCount);
  }

  private listHealthy(now: number): readonly AdviceChannel[] {
    return this.options.listChannels().filter((channel) => !this.getState(channel).isQuarantined(now));
  }

  private getState({ box }: AdviceChannel): ChannelState {
    const state = this.states.get(box) ?? new ChannelState();
    this.states.set(box, state);
    return state;
  }
}
