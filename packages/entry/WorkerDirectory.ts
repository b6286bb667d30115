import { Backoff } from '../common/Backoff';
import type { UnitId } from '../common/UnitId';
import type { WorkerId } from '../common/WorkerId';
import { EndpointClient } from '../gateway/EndpointClient';
import type { Ownership } from '../ownership/Ownership';
import type { BoxListing } from '../platform/BoxListing';
import { demandMath } from '../scheduler/demandMath';
import type { WorkerView } from '../scheduler/WorkerView';
import type { EntryContext } from './EntryContext';
import { isSameView } from './isSameView';
import { workerUnit } from './workerUnit';

interface WorkerEntry {
  listing: BoxListing;
  /** False once the platform's list no longer names it. */
  isListed: boolean;
  readonly client: EndpointClient;
  readonly backoff: Backoff;
  /** Not placed on before this monotonic time, after a connection failed or a later owner was met. */
  suspendedUntil: number;
  /** The spell of ownership in which the endpoint has shut earlier owners out; undefined for none. */
  fencedGrant: number | undefined;
  /** What the scheduler was last told, to tell it only of changes. */
  lastTold: WorkerView | undefined;
}

interface UnfencedWorker {
  readonly worker: WorkerId;
  readonly unit: UnitId;
  readonly client: EndpointClient;
  /** The spell of ownership for which it is to be asked. */
  readonly grant: number;
  readonly token: number;
}

const SUSPEND_BASE_MS = 250;
const SUSPEND_MAX_MS = 10_000;
const CONNECT_TIMEOUT_MS = 500;
/** A paused earlier start of each box of the hall may still hold its connections. */
const STARTS_PER_BOX = 2;

/** Owns what this process knows of its hall's workers, and the connections to them. */
export class WorkerDirectory {
  private readonly workers = new Map<WorkerId, WorkerEntry>();

  constructor(
    private readonly context: EntryContext,
    private readonly ownership: Ownership,
  ) {}

  /** Takes a new list from the platform. While none comes, the last one stands. */
  applyBoxes(listings: readonly BoxListing[]): void {
    const listed = new Set(listings.map((listing) => listing.worker));
    for (const listing of listings) {
      this.applyListing(listing);
    }
    for (const [worker, entry] of this.workers) {
      if (!listed.has(worker)) {
        entry.isListed = false;
      }
    }
    this.ownership.applyKnownUnits(listings.map((listing) => workerUnit.toUnit(listing.worker)));
  }

  /** Creates the views that have changed since the last call. */
  createChangedViews(): readonly WorkerView[] {
    const now = this.context.clock.getNow();
    const changed: WorkerView[] = [];
    for (const entry of this.workers.values()) {
      const view = this.createView(entry, now);
      if (entry.lastTold === undefined || !isSameView(view, entry.lastTold)) {
        entry.lastTold = view;
        changed.push(view);
        this.handleChange(entry, view);
      }
    }
    return changed;
  }

  /**
   * True while this process may place on a worker: it owns the unit, and the endpoint refuses orders of earlier owners. Without the latter an
   * order of a box that was stopped after its last check of the right joined those of the new owner: 9 to 12 tasks on 8 slots.
   */
  hasRight(worker: WorkerId): boolean {
    const entry = this.workers.get(worker);
    return entry !== undefined && this.isPlaceable(entry, this.context.clock.getNow());
  }

  /** Workers that are ours, whose endpoints have not shut earlier owners out yet and may be asked to. */
  readUnfenced(): readonly UnfencedWorker[] {
    const now = this.context.clock.getNow();
    const unfenced: UnfencedWorker[] = [];
    for (const { listing, client, suspendedUntil, fencedGrant } of this.workers.values()) {
      const unit = workerUnit.toUnit(listing.worker);
      const grant = this.ownership.readGrant(unit);
      const token = this.ownership.readToken(unit);
      // Most workers are fenced already, or not ours: only the others are worth the look at their right.
      if (grant === undefined || token === undefined || grant === fencedGrant || now < suspendedUntil) {
        continue;
      }
      const right = this.ownership.readRight(unit, now);
      if (right === 'granted' || right === 'unsettled') {
        unfenced.push({ worker: listing.worker, unit, client, grant, token });
      }
    }
    return unfenced;
  }

  /** Records that a worker's endpoint has shut earlier owners out. */
  recordFenced(worker: WorkerId, grant: number): void {
    const entry = this.workers.get(worker);
    if (entry !== undefined) {
      entry.fencedGrant = grant;
    }
  }

  /** Records that a worker's endpoint has a later owner: it is left alone until the newer view may be known. */
  recordLaterOwner(worker: WorkerId): void {
    const entry = this.workers.get(worker);
    if (entry !== undefined) {
      entry.fencedGrant = undefined;
      entry.suspendedUntil = this.context.clock.getNow() + SUSPEND_BASE_MS;
    }
  }

  /** Token for orders to a worker. */
  readToken(worker: WorkerId): number {
    return this.ownership.readToken(workerUnit.toUnit(worker)) ?? 0;
  }

  readClient(worker: WorkerId): EndpointClient | undefined {
    return this.workers.get(worker)?.client;
  }

  /** Number of workers that this process may place on now. */
  readPlaceableCount(): number {
    return [...this.workers.keys()].filter((worker) => this.hasRight(worker)).length;
  }

  readCount(): number {
    return this.workers.size;
  }

  /** Records that a worker takes no connection: it is left alone for a while, longer each time. */
  recordNoConnection(worker: WorkerId): void {
    const entry = this.workers.get(worker);
    if (entry !== undefined) {
      entry.suspendedUntil = this.context.clock.getNow() + SUSPEND_BASE_MS + entry.backoff.computeNextDelay();
    }
  }

  recordAnswered(worker: WorkerId): void {
    this.workers.get(worker)?.backoff.recordSuccess();
  }

  stop(): void {
    for (const entry of this.workers.values()) {
      entry.client.stop();
    }
  }

  private applyListing(listing: BoxListing): void {
    const known = this.workers.get(listing.worker);
    if (known !== undefined && known.listing.address === listing.address) {
      known.listing = listing;
      known.isListed = true;
      return;
    }
    known?.client.stop();
    this.workers.set(listing.worker, {
      listing,
      isListed: true,
      client: this.createClient(listing),
      backoff: new Backoff({ baseMs: SUSPEND_BASE_MS, maxMs: SUSPEND_MAX_MS, random: this.context.random }),
      suspendedUntil: -Infinity,
      fencedGrant: undefined,
      lastTold: undefined,
    });
  }

  private createClient(listing: BoxListing): EndpointClient {
    const { settings, hall } = this.context;
    const boxes = settings.entries.filter((entry) => entry.hall === hall).length;
    return new EndpointClient({
      address: listing.address,
      maxConnections: Math.max(1, Math.floor(listing.connections / (boxes * STARTS_PER_BOX))),
      maxResponseBytes: settings.limits.answerBytes,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      clock: this.context.clock,
    });
  }

  private createView(entry: WorkerEntry, now: number): WorkerView {
    const { listing } = entry;
    const unit = workerUnit.toUnit(listing.worker);
    const isOpen = entry.isListed && listing.state === 'live' && now >= entry.suspendedUntil;
    const isPlaceable = isOpen && this.isPlaceable(entry, now);
    const foreign = this.ownership.isOwner(unit) ? this.ownership.readForeign(unit) : demandMath.NOTHING;
    return { id: listing.worker, rack: listing.rack, capacity: listing.capacity, isPlaceable, foreign };
  }

  private isPlaceable({ listing, fencedGrant }: WorkerEntry, now: number): boolean {
    const unit = workerUnit.toUnit(listing.worker);
    const isFenced = fencedGrant !== undefined && fencedGrant === this.ownership.readGrant(unit);
    return isFenced && this.ownership.readRight(unit, now) === 'granted';
  }

  private handleChange(entry: WorkerEntry, view: WorkerView): void {
    if (!this.ownership.isOwner(workerUnit.toUnit(view.id))) {
      // The endpoint's connections are shared out over all boxes: those of a lost worker are given back.
      entry.client.stopIdleConnections();
    }
  }
}
