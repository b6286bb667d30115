import { SCHEDULER } from './constants';

/**
 * The slots that preemptible work leaves free. Each stop by checkpoint claims one more; claims fade with time.
 * So the free room follows what service requests needed of late, and tasks are not started to be stopped again.
 */
export class Headroom {
  private slots = 0;
  private updatedAt = 0;

  /** Records that a service request had to claim `slots` back. */
  recordClaim(slots: number, totalSlots: number, now: number): void {
    const most = totalSlots * SCHEDULER.maxHeadroomPart;
    this.slots = Math.min(most, this.readSlots(now) + slots);
  }

  /** Slots to leave free at `now` (milliseconds). */
  readSlots(now: number): number {
    const passed = Math.max(0, now - this.updatedAt);
    this.slots *= 2 ** (-passed / SCHEDULER.headroomHalfLifeMs);
    this.updatedAt = now;
    return this.slots;
  }
}
