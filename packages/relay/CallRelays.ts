import { computeLeaderCapacity } from '../boxes/computeLeaderCapacity';
import type { BoxResources } from '../boxes/BoxResources';
import type { Clock } from '../common/Clock';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { Logger } from '../common/Logger';
import { waitForDelay } from '../common/waitForDelay';
import { chooseRelayBoxes } from './chooseRelayBoxes';
import type { RelayBox } from './RelayBox';
import { RelayConnection } from './RelayConnection';
import type { RelayEnd } from './RelayEnd';
import { RelayedClient } from './RelayedClient';

interface CallRelaysOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Resources of this box. */
  readonly ownBox: BoxResources;
  /** Lists the other announced boxes, which may have ended. */
  readonly listBoxes: () => readonly RelayBox[];
  readonly recordCount: (name: 'relaysLost') => void;
}

interface Relay {
  readonly box: RelayBox;
  readonly connection: RelayConnection;
  /** Number of consecutive ticks with a round trip far above that of the fastest relay. */
  slowTicks: number;
}

/** Time for which a box whose connection was closed is not tried again. */
const RETRY_DELAY_MS = 5000;
const CONNECTION_CHECK_MS = 5;
/** Difference to the fastest relay's round trip from which a relay counts as slow, and number of ticks until it gets no more calls. */
const MAX_EXTRA_ROUND_TRIP_MS = 150;
const MAX_SLOW_TICKS = 10;

/**
 * Other boxes that send a leader's calls to endpoints, so that a call costs the leader a part of a frame in place of a request. They
 * decide nothing: a call carries the leader's fencing token and lease. Calls go directly while no relay is open.
 */
export class CallRelays {
  /** Relay of each box by its name, from the begin of the connection until its end. */
  private readonly relays = new Map<string, Relay>();
  /** Monotonic time from which a box is tried again, by its name. */
  private readonly retryAt = new Map<string, number>();
  /** Relay of each endpoint address in use. */
  private readonly assignments = new Map<string, RelayConnection>();
  private isStopped = false;

  constructor(private readonly options: CallRelaysOptions) {}

  /** Connects to the boxes that should relay the calls to a number of endpoints, and drains the others once these are open. */
  updateRelays(endpointCount: number): void {
    if (this.isStopped) {
      return;
    }
    const { ownBox, listBoxes } = this.options;
    const wanted = chooseRelayBoxes({
      ownBox,
      endpointCount,
      boxes: listBoxes().filter((box) => this.canRelay(box)),
      isInUse: ({ box }) => this.relays.has(box),
    });
    wanted.filter(({ box }) => !this.relays.has(box)).forEach((box) => this.startRelay(box));
    const wantedNames = new Set(wanted.map(({ box }) => box));
    if (wanted.every(({ box }) => this.relays.get(box)?.connection.isOpen() === true)) {
      this.listRelays()
        .filter(({ box }) => !wantedNames.has(box.box))
        .forEach(({ connection }) => connection.startDrain('replaced'));
    }
  }

  /** Resolves once no connection is being made, at the latest after a time in milliseconds. */
  async waitForConnections(timeoutMs: number): Promise<void> {
    const until = this.options.clock.getNow() + timeoutMs;
    while (
      this.listRelays().some(({ connection }) => connection.isConnecting()) &&
      this.options.clock.getNow() < until
    ) {
      await waitForDelay(CONNECTION_CHECK_MS);
    }
  }

  /** Drains slow relays, closes silent ones, and follows the number of endpoints. */
  handleTick(endpointCount: number): void {
    this.stopUsingSlowRelays();
    this.listRelays().forEach(({ connection }) => connection.handleTick());
    this.updateRelays(endpointCount);
  }

  /** Returns the relay of an endpoint address: the same while it is open, else the least used one; undefined when none is open. */
  chooseRelay(address: string): RelayConnection | undefined {
    const assigned = this.assignments.get(address);
    if (assigned?.isOpen() === true) {
      return assigned;
    }
    const chosen = this.findLeastUsed();
    if (chosen === undefined) {
      this.assignments.delete(address);
    } else {
      this.assignments.set(address, chosen);
    }
    return chosen;
  }

  /** Creates a client of an endpoint whose calls go through a relay while one is open. */
  createClient(clientOptions: JsonClientOptions): JsonClient {
    return new RelayedClient({
      ...clientOptions,
      clock: this.options.clock,
      chooseRelay: () => this.chooseRelay(clientOptions.address),
      releaseRelay: () => this.assignments.delete(clientOptions.address),
    });
  }

  /** Closes all connections; pending calls are interrupted. */
  stop(): void {
    this.isStopped = true;
    this.listRelays().forEach(({ connection }) => connection.stop('this box has stopped leading'));
  }

  /** Returns whether a box relays calls or may be tried: not while its connection drains, nor for some time after its end. */
  private canRelay({ box }: RelayBox): boolean {
    const connection = this.relays.get(box)?.connection;
    return connection === undefined
      ? (this.retryAt.get(box) ?? -Infinity) <= this.options.clock.getNow()
      : connection.isConnecting() || connection.isOpen();
  }

  private listRelays(): readonly Relay[] {
    return [...this.relays.values()];
  }

  /** Returns the open relay with the fewest clients for its capacity; undefined when none is open. */
  private findLeastUsed(): RelayConnection | undefined {
    const computeUse = ({ box, connection }: Relay): number =>
      (connection.countClients() + 1) / computeLeaderCapacity(box);
    return this.listRelays()
      .filter(({ connection }) => connection.isOpen())
      .sort((left, right) => computeUse(left) - computeUse(right))[0]?.connection;
  }

  private startRelay(box: RelayBox): void {
    const { clock, logger } = this.options;
    const connection = new RelayConnection({
      address: box.address,
      clock,
      handleOpen: () => logger.info('Call relay connected.', { relay: box.box }),
      handleClosed: (end) => this.handleClosed(box, end),
    });
    this.relays.set(box.box, { box, connection, slowTicks: 0 });
  }

  private handleClosed({ box }: RelayBox, { wasOpen, isPlanned, detail, pendingCalls }: RelayEnd): void {
    const { clock, logger, recordCount } = this.options;
    this.relays.delete(box);
    this.retryAt.set(box, clock.getNow() + RETRY_DELAY_MS);
    if (this.isStopped) {
      return;
    }
    if (isPlanned) {
      logger.info('Call relay released.', { relay: box, detail });
    } else if (wasOpen) {
      recordCount('relaysLost');
      logger.info('Call relay lost.', { relay: box, detail, pendingCalls });
    } else {
      logger.info('Call relay cannot be reached.', { relay: box, detail });
    }
  }

  /** Drains relays whose round trips are far above that of the fastest one for some time. */
  private stopUsingSlowRelays(): void {
    const relays = this.listRelays();
    const fastestMs = Math.min(...relays.map(({ connection }) => connection.getRoundTripMs() ?? Infinity));
    for (const relay of relays) {
      const extraMs = (relay.connection.getRoundTripMs() ?? fastestMs) - fastestMs;
      relay.slowTicks = extraMs > MAX_EXTRA_ROUND_TRIP_MS ? relay.slowTicks + 1 : 0;
      if (relay.slowTicks >= MAX_SLOW_TICKS) {
        relay.connection.startDrain(`slow: ${Math.round(extraMs)} ms longer than another`);
      }
    }
  }
}
