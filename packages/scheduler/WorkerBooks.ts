import type { RequestId } from '../common/RequestId';
import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';
import { demandMath } from './demandMath';
import { RoomIndex } from './RoomIndex';
import type { WorkerView } from './WorkerView';

interface WorkerEntry {
  view: WorkerView;
  own: Demand;
  readonly tasks: Set<RequestId>;
}

const formatShape = (need: Demand): string =>
  `${need.cpus}/${need.memoryMb}/${need.accelerators}/${need.slots}`;

/** Counts what this process has placed on each worker, and keeps a room index for each shape in use. */
export class WorkerBooks {
  private readonly workers = new Map<WorkerId, WorkerEntry>();
  private readonly indexes = new Map<string, RoomIndex>();
  private placeableSlots = 0;

  /** Applies what is now known of a worker; running tasks stay counted even when it may not be used any more. */
  applyView(view: WorkerView): void {
    const known = this.workers.get(view.id);
    const entry = known ?? { view, own: demandMath.NOTHING, tasks: new Set<RequestId>() };
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

  /** The index for a shape, made on first use. */
  readIndex(shape: Demand): RoomIndex {
    const key = formatShape(shape);
    const known = this.indexes.get(key);
    if (known !== undefined) {
      return known;
    }
    const index = new RoomIndex(shape);
    this.indexes.set(key, index);
    for (const entry of this.workers.values()) {
      this.recordRoom(entry);
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
    for (const index of this.indexes.values()) {
      if (entry.view.isPlaceable) {
        index.recordRoom(entry.view.id, this.readRoom(entry.view.id));
      } else {
        index.revokeWorker(entry.view.id);
      }
    }
  }
}
