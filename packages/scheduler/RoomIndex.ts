import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';
import { SCHEDULER } from './constants';
import { demandMath } from './demandMath';

/**
 * Workers sorted by how many more tasks of one shape fit, for one shape.
 * Choosing and updating cost a constant number of steps, whatever the number of workers.
 */
export class RoomIndex {
  private readonly buckets: WorkerId[][] = Array.from({ length: SCHEDULER.maxFit + 1 }, () => []);
  private readonly places = new Map<WorkerId, { fit: number; position: number }>();
  private total = 0;

  constructor(readonly shape: Demand) {}

  /** Records the free room of a worker. `slowness` above 1 makes it look fuller than it is, so that it comes later. */
  recordRoom(worker: WorkerId, room: Demand, slowness: number): void {
    const whole = Math.min(SCHEDULER.maxFit, demandMath.toFitCount(room, this.shape));
    const fit = whole === 0 ? 0 : Math.max(1, Math.floor(whole / slowness));
    const place = this.places.get(worker);
    if (place !== undefined && place.fit === fit) {
      return;
    }
    this.revokeWorker(worker);
    const bucket = this.buckets[fit] ?? [];
    bucket.push(worker);
    this.places.set(worker, { fit, position: bucket.length - 1 });
    this.total += fit;
  }

  /** Takes a worker out of the index. */
  revokeWorker(worker: WorkerId): void {
    const place = this.places.get(worker);
    if (place === undefined) {
      return;
    }
    const bucket = this.buckets[place.fit] ?? [];
    const last = bucket.pop();
    if (last !== undefined && last !== worker) {
      bucket[place.position] = last;
      this.places.set(last, { fit: place.fit, position: place.position });
    }
    this.places.delete(worker);
    this.total -= place.fit;
  }

  /** Chooses the worker with the most room, or undefined when none has any. */
  chooseRoomiest(pick: number): WorkerId | undefined {
    for (let fit = SCHEDULER.maxFit; fit > 0; fit -= 1) {
      const bucket = this.buckets[fit];
      if (bucket !== undefined && bucket.length > 0) {
        return bucket[Math.floor(pick * bucket.length)];
      }
    }
    return undefined;
  }

  /** Chooses the worker with the least room that still fits one task, or undefined. */
  chooseTightest(): WorkerId | undefined {
    for (let fit = 1; fit <= SCHEDULER.maxFit; fit += 1) {
      const bucket = this.buckets[fit];
      if (bucket !== undefined && bucket.length > 0) {
        return bucket[bucket.length - 1];
      }
    }
    return undefined;
  }

  /** Chooses any worker that fits one task, each with the same chance. */
  chooseAny(pick: number): WorkerId | undefined {
    const fitting = this.places.size - (this.buckets[0]?.length ?? 0);
    let position = Math.floor(pick * fitting);
    for (let fit = 1; fit <= SCHEDULER.maxFit; fit += 1) {
      const bucket = this.buckets[fit] ?? [];
      if (position < bucket.length) {
        return bucket[position];
      }
      position -= bucket.length;
    }
    return undefined;
  }

  /** Chooses the worker with the most room by looking at every one. A baseline only. */
  chooseByScan(): WorkerId | undefined {
    let best: WorkerId | undefined;
    let bestFit = 0;
    for (const [worker, place] of this.places) {
      if (place.fit > bestFit) {
        best = worker;
        bestFit = place.fit;
      }
    }
    return best;
  }

  /** How many more tasks of the shape fit in all. */
  readTotal(): number {
    return this.total;
  }
}
