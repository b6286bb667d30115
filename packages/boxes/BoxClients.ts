import { BoxClient } from './BoxClient';
import type { BoxDirectory } from './BoxDirectory';
import type { BoxPower } from './BoxPower';
import { measureStrength } from './measureStrength';

interface OtherBox extends BoxPower {
  readonly box: string;
  readonly client: BoxClient;
  /** Monotonic time at which its newest announcement was read from the log. */
  readonly announcedAt: number;
}

/** Connections to the other entry boxes that have announced themselves. */
export class BoxClients {
  private readonly clients = new Map<string, BoxClient>();

  constructor(
    private readonly directory: BoxDirectory,
    private readonly own: BoxPower & { readonly box: string },
  ) {}

  /** A client of each other box. */
  readOthers(): readonly OtherBox[] {
    return this.directory
      .readBoxes()
      .filter(({ box }) => box !== this.own.box)
      .map(({ box, address, announcedAt, cores, linkMbps }) => ({
        box,
        announcedAt,
        cores,
        linkMbps,
        client: this.readClient(box, address),
      }));
  }

  /** A client of a box by its name; undefined when it has not announced itself. */
  readClientOf(name: string): BoxClient | undefined {
    const known = this.directory.readBoxes().find(({ box }) => box === name);
    return known === undefined ? undefined : this.readClient(known.box, known.address);
  }

  /**
   * A box that says it can use the log: of the stronger ones if there is any, else of those as strong, else the strongest of all others;
   * undefined when none does. A weak box that leads a large fleet falls behind with its heartbeats and is replaced again.
   */
  async startChoosingLogUser(): Promise<BoxClient | undefined> {
    const peers = this.directory.readPeers(this.own);
    return (
      (await this.startChoosingStronger()) ??
      (await this.startChoosingAmong(peers)) ??
      this.startChoosingStrongest(this.readOthers())
    );
  }

  /** A box that is stronger than this one and says it can use the log; undefined when none does. */
  startChoosingStronger(): Promise<BoxClient | undefined> {
    return this.startChoosingAmong(this.directory.readStronger(this.own));
  }

  private startChoosingAmong(boxes: readonly { readonly box: string }[]): Promise<BoxClient | undefined> {
    const names = new Set(boxes.map(({ box }) => box));
    return this.startChoosing(this.readOthers().filter(({ box }) => names.has(box)));
  }

  /** The first of some boxes that says it can use the log. */
  private startChoosing(boxes: readonly { readonly client: BoxClient }[]): Promise<BoxClient | undefined> {
    return new Promise((resolve) => {
      const questions = boxes.map(async ({ client }) => {
        if ((await client.sendLogQuestion()) === 'usable') {
          resolve(client);
        }
      });
      void Promise.all(questions).then(() => resolve(undefined));
    });
  }

  /** The strongest of some boxes that say they can use the log. All are waited for, which their short time limit bounds. */
  private async startChoosingStrongest(boxes: readonly OtherBox[]): Promise<BoxClient | undefined> {
    const uses = await Promise.all(boxes.map(({ client }) => client.sendLogQuestion()));
    const usable = boxes.filter((_box, index) => uses[index] === 'usable');
    const ranked = usable.sort((left, right) => measureStrength(right) - measureStrength(left));
    return ranked[0]?.client;
  }

  private readClient(box: string, address: string): BoxClient {
    const known = this.clients.get(box);
    if (known?.address === address) {
      return known;
    }
    void known?.stop();
    const created = new BoxClient(address);
    this.clients.set(box, created);
    return created;
  }
}
