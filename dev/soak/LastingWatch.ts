import { waitForDelay } from '../../packages/common/waitForDelay';
import type { SoakWorld } from './SoakWorld';

const SAMPLE_MS = 100;
/** Time after its last run in which a lasting task may be away. */
const MAX_AWAY_MS = 6000;
/** Time for which there is capacity, and the task does not run, from which it counts as lost. */
const MAX_UNUSED_ROOM_MS = 3000;
/** Tasks that there must be room for, so that a lasting one is expected to run. */
const NEEDED_ROOM = 2;

/** Watches in a calm that each lasting task of an accepted job runs again, or runs on, while there is room for it. */
export class LastingWatch {
  private readonly lastRunningAt = new Map<string, number>();
  private readonly lostTasks = new Set<string>();
  private roomSince: number | undefined;

  constructor(private readonly world: SoakWorld) {}

  /** Watches from the beginning of a calm on, for a time in milliseconds. */
  async start(watchedMs: number): Promise<void> {
    const calmSince = performance.now();
    while (performance.now() < calmSince + watchedMs) {
      this.updateRoom();
      this.listTasks().forEach((task) => this.checkTask(task, calmSince));
      await waitForDelay(SAMPLE_MS);
    }
  }

  private listTasks(): readonly string[] {
    return this.world.jobs
      .filter(({ kind, fate }) => kind === 'lasting' && fate === 'accepted')
      .flatMap(({ id, count }) => Array.from({ length: count }, (_, index) => `${id}.0.0.${index}`));
  }

  private updateRoom(): void {
    const hasRoom = this.world.cell.countFreeRoom() >= NEEDED_ROOM;
    this.roomSince = hasRoom ? (this.roomSince ?? performance.now()) : undefined;
  }

  private checkTask(task: string, calmSince: number): void {
    const now = performance.now();
    if (this.world.cell.runChecker.isRunning(task)) {
      this.lastRunningAt.set(task, now);
      return;
    }
    const awayMs = now - (this.lastRunningAt.get(task) ?? calmSince);
    const unusedMs = this.roomSince === undefined ? 0 : now - this.roomSince;
    const isLost = awayMs > MAX_AWAY_MS + MAX_UNUSED_ROOM_MS && unusedMs > MAX_UNUSED_ROOM_MS;
    if (isLost && !this.lostTasks.has(task)) {
      this.lostTasks.add(task);
      const { problems } = this.world;
      problems.push(
        `${task} has not run for ${Math.round(awayMs)} ms of calm, although there is room for it`,
      );
    }
  }
}
