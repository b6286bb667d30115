import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import { sendAdviceRequest } from './sendAdviceRequest';
import type { DispatchEffect } from '../DispatchEffect';

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;

interface FirstFreeChannelState {
  /** Whether a request is pending. */
  isBusy: boolean;
  /** Monotonic time until which the channel is not used, after a request without a response. */
  quarantinedUntil: number;
}

/** Time by which a response may exceed its expected response time before the request fails. */
const RESPONSE_TIMEOUT_MARGIN_MS = 1200;
/** Duration of a channel's quarantine after a request without a response. */
const CHANNEL_QUARANTINE_MS = 2500;

/** Sends short requests over the first free channel and long ones over the last, and reserves the leader's own box for short ones. */
export class FirstFreeBalancer implements AdviceBalancer {
  /** State of each channel, by the name of its box. */
  private readonly channelStates = new Map<string, FirstFreeChannelState>();
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  getFreeSlots(): AdviceSlots {
    const channels = this.options.listChannels();
    const free = channels.filter((channel) => this.isChannelFree(channel));
    // The own box takes long requests too while all others are quarantined or there are none.
    const hasOthers = channels.some(({ box, isOwnBox }) => !isOwnBox && !this.isChannelQuarantined(box));
    return {
      all: free.length,
      long: hasOthers ? free.filter(({ isOwnBox }) => !isOwnBox).length : free.length,
      quarantined: channels.filter(({ box }) => this.isChannelQuarantined(box)).length,
    };
  }

  async sendRequest(request: AdviceRequest): Promise<void> {
    const free = this.options.listChannels().filter((channel) => this.isChannelFree(channel));
    const channel = request.isLongRequest ? free[free.length - 1] : free[0];
    if (channel === undefined) {
      this.options.handleResponse(request, undefined, 0);
      return;
    }
    const state = this.channelStates.get(channel.box) ?? { isBusy: false, quarantinedUntil: 0 };
    this.channelStates.set(channel.box, state);
    state.isBusy = true;
    const requestedAt = this.options.clock.getNow();
    const timeoutMs = request.expectedResponseMs + RESPONSE_TIMEOUT_MARGIN_MS;
    const tickets = await sendAdviceRequest(channel, request, timeoutMs);
    state.isBusy = false;
    if (this.isStopped) {
      return;
    }
    const now = this.options.clock.getNow();
    if (tickets === undefined) {
      state.quarantinedUntil = now + CHANNEL_QUARANTINE_MS;
    }
    this.options.handleResponse(request, tickets, Math.round(now - requestedAt));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns whether the channel has no pending request and is not quarantined. */
  private isChannelFree({ box }: AdviceChannel): boolean {
    return this.channelStates.get(box)?.isBusy !== true && !this.isChannelQuarantined(box);
  }

  private isChannelQuarantined(box: string): boolean {
    return (this.channelStates.get(box)?.quarantinedUntil ?? 0) > this.options.clock.getNow();
  }
}
