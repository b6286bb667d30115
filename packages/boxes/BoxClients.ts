import { BoxClient } from './BoxClient';
import type { BoxDirectory } from './BoxDirectory';
import type { BoxResources } from './BoxResources';
import { BoxPresence } from './BoxPresence';
import { computeLeaderCapacity } from './computeLeaderCapacity';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';

interface BoxClientsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

interface ConnectedBox extends BoxResources {
  readonly box: string;
  /** Host and port for requests between boxes. */
  readonly address: string;
  readonly client: BoxClient;
  /** Monotonic time at which its newest announcement was read from the log, in milliseconds. */
  readonly announcedAt: number;
}

/**
 * Time after the start of this process from which the announcement of another box shows that the box has started later. Boxes that start together
 * read each other's announcements within it.
 */
const MIN_LATER_START_MS = 5000;

/** HTTP clients of the other announced entry boxes, and the search for a box that should lead next. */
export class BoxClients {
  private readonly clients = new Map<string, BoxClient>();
  /** The boxes of the directory for which `others` was listed. */
  private listedBoxes: ReturnType<BoxDirectory['listBoxes']> | undefined;
  private others: readonly ConnectedBox[] = [];

  private readonly presence: BoxPresence;

  constructor(
    private readonly directory: BoxDirectory,
    private readonly ownBox: BoxResources & { readonly box: string },
    private readonly options: BoxClientsOptions,
  ) {
    this.presence = new BoxPresence({
      ...options,
      sendProbe: async (box, timeoutMs) => this.findClient(box)?.sendProbe(timeoutMs),
    });
  }

  /** Returns which of the other boxes can be reached. */
  getPresence(): BoxPresence {
    return this.presence;
  }

  /** Probes lost boxes and, with `isProbingUnknown`, those that have neither responded nor failed yet. Called periodically. */
  handleTick(isProbingUnknown: boolean): void {
    this.presence.handleTick(this.listOthers(), isProbingUnknown);
  }

  /** Returns the other announced boxes that are not lost. */
  listOthersNotLost(): readonly ConnectedBox[] {
    return this.listOthers().filter(({ box }) => !this.presence.isLost(box));
  }

  /** Returns all other announced boxes with their clients; the same array until the directory changes. */
  listOthers(): readonly ConnectedBox[] {
    const boxes = this.directory.listBoxes();
    if (boxes !== this.listedBoxes) {
      this.recordNewAnnouncements(boxes);
      this.listedBoxes = boxes;
      this.others = this.createConnectedBoxes(boxes);
    }
    return this.others;
  }

  /** Tells the presence of the boxes that have announced themselves again since the last listing, or at another address. */
  private recordNewAnnouncements(boxes: ReturnType<BoxDirectory['listBoxes']>): void {
    const listed = new Map(this.listedBoxes?.map((known) => [known.box, known]));
    for (const { box, address, announcedAt } of boxes) {
      const known = listed.get(box);
      if (known !== undefined && (known.announcedAt !== announcedAt || known.address !== address)) {
        this.presence.recordAnnouncement(box);
      }
    }
  }

  private createConnectedBoxes(boxes: ReturnType<BoxDirectory['listBoxes']>): readonly ConnectedBox[] {
    return boxes
      .filter(({ box }) => box !== this.ownBox.box)
      .map(({ box, address, announcedAt, cores, linkMbps }) => ({
        box,
        address,
        announcedAt,
        cores,
        linkMbps,
        client: this.getClient(box, address),
      }));
  }

  /** Returns the client of an announced box by its name; undefined when it has not announced itself. */
  findClient(name: string): BoxClient | undefined {
    const known = this.directory.listBoxes().find(({ box }) => box === name);
    return known === undefined ? undefined : this.getClient(known.box, known.address);
  }

  /**
   * Returns a box that can use the log: a stronger box if there is one, else one of comparable strength, else the strongest of the
   * others; undefined when none can. Prefers strong boxes, because a weak leader of a large fleet falls behind with its heartbeats.
   */
  async findLeaderCandidate(): Promise<BoxClient | undefined> {
    const peers = this.directory.listPeers(this.ownBox);
    return (
      (await this.findStrongerCandidate()) ??
      (await this.findFirstOfNamed(peers)) ??
      this.findStrongestWithLog(this.listAsked())
    );
  }

  /**
   * Returns a box that can use the log for a leader that is stopped by plan; undefined when there is none. As `findLeaderCandidate`, but prefers boxes
   * that have started after this process, at the monotonic time `ownStartedAt`: a rolling restart has passed them, and stops the others yet.
   */
  async findSuccessor(ownStartedAt: number): Promise<BoxClient | undefined> {
    const restarted = this.listOthers().filter(
      ({ announcedAt }) => announcedAt > ownStartedAt + MIN_LATER_START_MS,
    );
    const restartedNames = new Set(restarted.map(({ box }) => box));
    const isRestarted = ({ box }: { readonly box: string }): boolean => restartedNames.has(box);
    return (
      (await this.findFirstOfNamed(this.directory.listStronger(this.ownBox).filter(isRestarted))) ??
      (await this.findStrongerCandidate()) ??
      (await this.findFirstOfNamed(this.directory.listPeers(this.ownBox).filter(isRestarted))) ??
      this.findLeaderCandidate()
    );
  }

  /** Returns the first box to respond that is stronger than this one and can use the log; undefined when there is none. */
  findStrongerCandidate(): Promise<BoxClient | undefined> {
    return this.findFirstOfNamed(this.directory.listStronger(this.ownBox));
  }

  /** Returns the boxes to ask whether they can use the log: those that are not lost, or all when no other is left. */
  private listAsked(): readonly ConnectedBox[] {
    const others = this.listOthersNotLost();
    return others.length > 0 ? others : this.listOthers();
  }

  /** Returns the client of the first of the given other boxes to respond that it can use the log; undefined when none does. */
  private findFirstOfNamed(boxes: readonly { readonly box: string }[]): Promise<BoxClient | undefined> {
    const names = new Set(boxes.map(({ box }) => box));
    return this.findFirstWithLog(this.listAsked().filter(({ box }) => names.has(box)));
  }

  /** Returns the first box to respond that it can use the log; undefined when none does. */
  private findFirstWithLog(boxes: readonly { readonly client: BoxClient }[]): Promise<BoxClient | undefined> {
    return new Promise((resolve) => {
      const requests = boxes.map(async ({ client }) => {
        if ((await client.requestLogStatus()) === 'usable') {
          resolve(client);
        }
      });
      void Promise.all(requests).then(() => resolve(undefined));
    });
  }

  /** Returns the strongest box that can use the log, after all have responded or timed out; undefined when none can. */
  private async findStrongestWithLog(boxes: readonly ConnectedBox[]): Promise<BoxClient | undefined> {
    const statuses = await Promise.all(boxes.map(({ client }) => client.requestLogStatus()));
    const usable = boxes.filter((_box, index) => statuses[index] === 'usable');
    const ranked = usable.sort((left, right) => computeLeaderCapacity(right) - computeLeaderCapacity(left));
    return ranked[0]?.client;
  }

  /** Returns the client of a box, after replacing it if the address of the box has changed. */
  private getClient(box: string, address: string): BoxClient {
    const known = this.clients.get(box);
    if (known?.address === address) {
      return known;
    }
    void known?.stop();
    const { clock } = this.options;
    const created = new BoxClient({
      address,
      clock,
      handleResponse: () => this.presence.recordResponse(box),
      handleFailure: (sentAt) => this.presence.recordFailure(box, sentAt),
    });
    this.clients.set(box, created);
    return created;
  }
}
