import type { BoxClients } from '../boxes/BoxClients';
import type { AdviceChannel } from '../dispatch/advice/AdviceChannel';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';

interface AdviceChannelsOptions {
  /** Name of this box. */
  readonly box: string;
  /** Client of the advice service for this box. */
  readonly adviceClient: AdviceClient;
  readonly boxes: Pick<BoxClients, 'listOthers' | 'getPresence'>;
}

/** Channels for advice requests: that of this box first, then those of the other announced boxes. */
export class AdviceChannels {
  private channels: readonly AdviceChannel[] = [];
  /** The other boxes for which `channels` was created. */
  private listedOthers: ReturnType<BoxClients['listOthers']> | undefined;

  constructor(private readonly options: AdviceChannelsOptions) {}

  /** Returns the channels; the same array until the announced boxes change. */
  listChannels(): readonly AdviceChannel[] {
    const others = this.options.boxes.listOthers();
    if (others !== this.listedOthers) {
      const { box, adviceClient, boxes } = this.options;
      const presence = boxes.getPresence();
      this.listedOthers = others;
      this.channels = [
        { box, isOwnBox: true, isReachable: () => true, client: adviceClient },
        ...others.map((other) => ({
          box: other.box,
          isOwnBox: false,
          isReachable: () => presence.isReachable(other.box),
          client: other.client,
        })),
      ];
    }
    return this.channels;
  }
}
