import type { BoxDirectory } from './BoxDirectory';
import { BoxClient } from './BoxClient';

/** Connections to the other entry boxes that have announced themselves. */
export class BoxClients {
  private readonly clients = new Map<string, BoxClient>();

  constructor(
    private readonly directory: BoxDirectory,
    private readonly ownBox: string,
  ) {}

  /** A client of each other box. */
  readOthers(): readonly { readonly box: string; readonly client: BoxClient }[] {
    return this.directory
      .readBoxes()
      .filter(({ box }) => box !== this.ownBox)
      .map(({ box, address }) => ({ box, client: this.readClient(box, address) }));
  }

  /** The first other box that says it can use the log; undefined when none does. */
  async startChoosingLogUser(): Promise<BoxClient | undefined> {
    const others = this.readOthers();
    return new Promise((resolve) => {
      const questions = others.map(async ({ client }) => {
        if (await client.isLogUsable()) {
          resolve(client);
        }
      });
      void Promise.all(questions).then(() => resolve(undefined));
    });
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
