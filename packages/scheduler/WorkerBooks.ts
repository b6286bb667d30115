import type { RequestId } from '../common/RequestId';
import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';
import { SCHEDULER } from './constants';
import { demandMath } from './demandMath';
import { RoomIndex } from './RoomIndex';
import type { WorkerView } from './WorkerView';

interface WorkerEntry {
  view: WorkerView;
  own: Demand;
  readonly tasks: Set<RequestId>;
  /** Moving average of run time over the row's mean. */
  slowness: number;
  /** Free slots as last counted into the sum; 0 while it may not be used. */
  freeSlots: number;
}

const formatShape = (need: Demand): string =>
  `${need.cpus}/${need.memoryMb}/${need.accelerators}/${need.slots}`;

/** Counts what this process has placed on each worker, and keeps a room index for each shape in use. */
export class WorkerBooks {
  private readonly workers = new Map<WorkerId, WorkerEntry>();
  private readonly indexes = new Map<string, RoomIndex>();
  private placeableSlots = 0;
  private freeSlots = 0;
  private readonly slowWorkers = new Set<WorkerId>();

  /** Applies what is now known of a worker; running tasks stay counted even when it may not be used any more. */
  applyView(view: WorkerView): void {
    const known = this.workers.get(view.id);
    const entry = known ?? {
      view,
      own: demandMath.NOTHING,
      tasks: new Set<RequestId>(),
      slowness: 1,
      freeSlots: 0,
    };
    if (known?.view.isPlaceable === true) {
      this.placeableSlots -= known.view.capacity.slots;
    }
    entry.view = view;
    if (view.isPlaceable) {
      this.placeableSlots += view.capacity.slots;
    }
    this.workers.set(view.id, entry);
    this.recordRoom(entry);
  }

  /** Creates the index for a shape, unless there is one. */
  createIndex(shape: Demand): void {
    const key = formatShape(shape);
    if (this.indexes.has(key)) {
      return;
    }
    this.indexes.set(key, new RoomIndex(shape));
    for (const entry of this.workers.values()) {
      this.recordRoom(entry);
    }
  }

  /** The index for the shape of a row of the table. */
  readIndex(shape: Demand): RoomIndex {
    const index = this.indexes.get(formatShape(shape));
    if (index === undefined) {
      throw new Error(`no index for the shape ${formatShape(shape)}`);
    }
    return index;
  }

  /** Free room of a worker; may be negative when others' tasks have been learnt of late. */
  readRoom(worker: WorkerId): Demand {
    const entry = this.workers.get(worker);
    if (entry === undefined) {
      return demandMath.NOTHING;
    }
    const taken = demandMath.toSum(entry.own, entry.view.foreign);
    return demandMath.toDifference(entry.view.capacity, taken);
  }

  /** True when this process may place on the worker now. */
  isPlaceable(worker: WorkerId): boolean {
    return this.workers.get(worker)?.view.isPlaceable === true;
  }

  /** Tasks placed on a worker. */
  readTasks(worker: WorkerId): Iterable<RequestId> {
    return this.workers.get(worker)?.tasks ?? [];
  }

  /** Slots of all workers that this process may place on. */
  readPlaceableSlots(): number {
    return this.placeableSlots;
  }

  /** Free slots of all workers that this process may place on. */
  readFreeSlots(): number {
    return this.freeSlots;
  }

  /** Records how long a task ran on a worker against its row's mean: 1 is the mean. */
  recordPace(worker: WorkerId, pace: number): void {
    const entry = this.workers.get(worker);
    if (entry === undefined) {
      return;
    }
    entry.slowness += SCHEDULER.runTimeSmoothing * (pace - entry.slowness);
    if (entry.slowness > SCHEDULER.slowFactor) {
      this.slowWorkers.add(worker);
    }
  }

  /** Lets slowness fade, so that a worker that was slow once is tried again. */
  applyTime(passedMs: number): void {
    const kept = 2 ** (-passedMs / SCHEDULER.slownessHalfLifeMs);
    for (const worker of this.slowWorkers) {
      const entry = this.workers.get(worker);
      if (entry === undefined || entry.slowness <= SCHEDULER.slowFactor) {
        this.slowWorkers.delete(worker);
      } else {
        entry.slowness = 1 + (entry.slowness - 1) * kept;
      }
    }
  }

  /** Records a task placed on a worker. */
  recordPlaced(worker: WorkerId, id: RequestId, need: Demand): void {
    const entry = this.workers.get(worker);
    if (entry === undefined || entry.tasks.has(id)) {
      return;
    }
    entry.tasks.add(id);
    entry.own = demandMath.toSum(entry.own, need);
    this.recordRoom(entry);
  }

  /** Records that a task has left its worker. */
  recordFreed(worker: WorkerId, id: RequestId, need: Demand): void {
    const entry = this.workers.get(worker);
    if (entry === undefined || !entry.tasks.delete(id)) {
      return;
    }
    entry.own = entry.tasks.size === 0 ? demandMath.NOTHING : demandMath.toDifference(entry.own, need);
    this.recordRoom(entry);
  }

  private recordRoom(entry: WorkerEntry): void {
    const room = this.readRoom(entry.view.id);
    const freeSlots = entry.view.isPlaceable ? Math.max(0, room.slots) : 0;
    this.freeSlots += freeSlots - entry.freeSlots;
    entry.freeSlots = freeSlots;
    const slowness = entry.slowness > SCHEDULER.slowFactor ? entry.slowness : 1;
    for (const index of this.indexes.values()) {
      if (entry.view.isPlaceable) {
        index.recordRoom(entry.view.id, room, slowness);
      } else {
        index.revokeWorker(entry.view.id);
      }
    }
  }
}
