import type { AdviceChannel } from './AdviceChannel';

/** Sends copies of requests over channels that are not trusted, one at a time. */
export class ChannelTrials {
  private isPending = false;

  /** Sends a copy over the first of the channels; does nothing without one, or while another copy is pending. */
  startTrial(
    [channel]: readonly AdviceChannel[],
    sendCopy: (channel: AdviceChannel) => Promise<unknown>,
  ): void {
    if (channel === undefined || this.isPending) {
      return;
    }
    this.isPending = true;
    void sendCopy(channel).finally(() => {
      this.isPending = false;
    });
  }
}
