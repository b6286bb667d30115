import { computeLeaderCapacity } from '../boxes/computeLeaderCapacity';
import type { BoxResources } from '../boxes/BoxResources';
import type { Clock } from '../common/Clock';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { Logger } from '../common/Logger';
import { waitWithTimeout } from '../common/waitWithTimeout';
import type { RelayBox } from './RelayBox';
import { RelayConnection } from './RelayConnection';
import { RelayedClient } from './RelayedClient';

interface CallRelaysOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Resources of this box. */
  readonly ownBox: BoxResources;
  /** Lists the other announced boxes, some of which may no longer exist. */
  readonly listBoxes: () => readonly RelayBox[];
  readonly recordCount: (name: 'relaysLost') => void;
}

interface Relay {
  readonly box: RelayBox;
  readonly connection: RelayConnection;
  /** Number of consecutive ticks in which responses of other boxes came much sooner. */
  slowTicks: number;
}

/** Number of endpoints that a leader can poll without help, for each of its cores. */
const OWN_ENDPOINTS_PER_CORE = 150;
/** Number of endpoints that a relay polls, for each of its cores. */
const RELAYED_ENDPOINTS_PER_CORE = 100;
const MAX_RELAYS = 12;
/** Time for which a box that was lost as relay is not tried again. */
const RETRY_DELAY_MS = 5000;
/** Difference to the fastest relay's round trip from which a relay counts as slow, and number of ticks until it is replaced. */
const MAX_EXTRA_ROUND_TRIP_MS = 150;
const MAX_SLOW_TICKS = 10;

/**
 * Other boxes that send a leader's calls to endpoints, so that a call costs the leader a part of a frame in place of a request. They
 * decide nothing: a call carries the leader's fencing token and lease. Calls go directly while no relay is open.
 */
export class CallRelays {
  private readonly relays = new Map<string, Relay>();
  private readonly retryAt = new Map<string, number>();
  /** Relay of each endpoint address in use. */
  private readonly assignments = new Map<string, RelayConnection>();
  private endpointCount = 0;
  private isStopped = false;

  constructor(private readonly options: CallRelaysOptions) {}

  /** Connects to as many boxes as a number of endpoints needs. */
  startRelays(endpointCount: number): void {
    this.endpointCount = endpointCount;
    this.updateRelays();
  }

  /** Resolves once the connections that are being made are open or have failed, at the latest after a time in milliseconds. */
  waitForConnections(timeoutMs: number): Promise<void> {
    const isPending = (): boolean =>
      [...this.relays.values()].some(({ connection }) => !connection.isOpen() && !connection.isClosed());
    const settled = new Promise<void>((resolve) => {
      const check = (): void => (isPending() && !this.isStopped ? void setTimeout(check, 5) : resolve());
      check();
    });
    return waitWithTimeout(settled, timeoutMs, undefined);
  }

  /** Replaces lost and slow relays, and follows the number of endpoints. */
  handleTick(endpointCount: number): void {
    this.endpointCount = endpointCount;
    this.stopSlowRelays();
    this.relays.forEach(({ connection }) => connection.handleTick());
    this.updateRelays();
  }

  /** Returns the relay of an endpoint address: the same while it is open, then the one with most capacity for each endpoint; undefined when none is open. */
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

  stop(): void {
    this.isStopped = true;
    for (const { connection } of [...this.relays.values()]) {
      connection.stop('this box has stopped leading');
    }
  }

  private findLeastUsed(): RelayConnection | undefined {
    const computeUse = ({ box, connection }: Relay): number =>
      (connection.countClients() + 1) / computeLeaderCapacity(box);
    const open = [...this.relays.values()].filter(({ connection }) => connection.isOpen());
    return open.sort((left, right) => computeUse(left) - computeUse(right))[0]?.connection;
  }

  /** Connects to further boxes, the strongest first, until they suffice for the endpoints. */
  private updateRelays(): void {
    const { clock, ownBox, listBoxes } = this.options;
    if (this.isStopped || this.endpointCount <= computeLeaderCapacity(ownBox) * OWN_ENDPOINTS_PER_CORE) {
      return;
    }
    const now = clock.getNow();
    let missing = this.endpointCount - this.countRelayedEndpoints();
    if (missing <= 0 || this.relays.size >= MAX_RELAYS) {
      return;
    }
    const candidates = listBoxes()
      .filter(({ box }) => !this.relays.has(box) && (this.retryAt.get(box) ?? -Infinity) <= now)
      .sort((left, right) => computeLeaderCapacity(right) - computeLeaderCapacity(left));
    for (const box of candidates) {
      if (missing <= 0 || this.relays.size >= MAX_RELAYS) {
        return;
      }
      this.startRelay(box);
      missing -= computeLeaderCapacity(box) * RELAYED_ENDPOINTS_PER_CORE;
    }
  }

  /** Returns for how many endpoints the relays that are open or being connected suffice. */
  private countRelayedEndpoints(): number {
    return [...this.relays.values()].reduce(
      (sum, { box }) => sum + computeLeaderCapacity(box) * RELAYED_ENDPOINTS_PER_CORE,
      0,
    );
  }

  private startRelay(box: RelayBox): void {
    const { clock, logger } = this.options;
    const connection = new RelayConnection({
      address: box.address,
      clock,
      handleOpen: () => logger.info('Call relay connected.', { relay: box.box }),
      handleClosed: (detail, wasOpen, callCount) => this.handleClosed(box.box, detail, wasOpen, callCount),
    });
    this.relays.set(box.box, { box, connection, slowTicks: 0 });
  }

  private handleClosed(box: string, detail: string, wasOpen: boolean, callCount: number): void {
    const { clock, logger, recordCount } = this.options;
    this.relays.delete(box);
    this.retryAt.set(box, clock.getNow() + RETRY_DELAY_MS);
    if (this.isStopped) {
      return;
    }
    if (wasOpen) {
      recordCount('relaysLost');
      logger.info('Call relay lost.', { relay: box, detail, pendingCalls: callCount });
    } else {
      logger.info('Call relay cannot be reached.', { relay: box, detail });
    }
  }

  /** Closes connections whose pings take much longer than those of the fastest relay for some time. */
  private stopSlowRelays(): void {
    const relays = [...this.relays.values()];
    const fastestMs = Math.min(...relays.map(({ connection }) => connection.getRoundTripMs() ?? Infinity));
    for (const relay of relays) {
      const extraMs = (relay.connection.getRoundTripMs() ?? 0) - fastestMs;
      relay.slowTicks = extraMs > MAX_EXTRA_ROUND_TRIP_MS ? relay.slowTicks + 1 : 0;
      if (relay.slowTicks >= MAX_SLOW_TICKS) {
        relay.connection.stop(`slow: ${Math.round(extraMs)} ms longer than another`);
      }
    }
  }
}
