import type { Demand } from '../../packages/table/Demand';
import type { Row } from '../../packages/table/Row';
import { toRow } from './toRow';

interface Deployment {
  readonly workers: number;
  readonly capacity: Demand;
  readonly rows: readonly Row[];
}

/** The two deployments of the brief: workers, capacities and rows. */
export const deployments: Readonly<Record<'almaty' | 'gangeticEast', Deployment>> = {
  almaty: {
    workers: 33,
    capacity: { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
    rows: [
      toRow('plan-refresh', { class: 'service', team: 'clinicians', weight: 4, priority: 10, cpus: 1, memoryMb: 1024, deadlineMs: 3000, expectedMs: 400, timeLimitMs: 10_000, maxQueued: 5000 }),
      toRow('course-build', { class: 'batch', team: 'builders', weight: 2, priority: 5, cpus: 2, memoryMb: 2048, slots: 2, deadlineMs: 60_000, expectedMs: 4000, timeLimitMs: 60_000, repeatable: false, maxQueued: 5000 }),
      toRow('video-render', { class: 'batch', team: 'builders', cpus: 4, memoryMb: 4096, slots: 2, deadlineMs: 1_800_000, expectedMs: 15_000, timeLimitMs: 120_000, placement: 'pack', preemptible: true, maxSharePercent: 80, maxQueued: 5000 }),
    ],
  },
  gangeticEast: {
    workers: 33,
    capacity: { cpus: 32, memoryMb: 65_536, accelerators: 0, slots: 8 },
    rows: [
      toRow('tile-proof', { class: 'service', team: 'members', weight: 2, priority: 5, cpus: 1, memoryMb: 512, deadlineMs: 5000, expectedMs: 300, timeLimitMs: 10_000, maxQueued: 5000 }),
      toRow('sheet-stitch', { class: 'batch', team: 'members', cpus: 8, memoryMb: 16_384, slots: 2, deadlineMs: 600_000, expectedMs: 20_000, timeLimitMs: 180_000, repeatable: false, placement: 'pack', maxQueued: 5000, maxSharePercent: 96 }),
    ],
  },
};
