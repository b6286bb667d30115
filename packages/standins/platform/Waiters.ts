/** Set of long polls that wait for the same event, each with a timeout. */
export class Waiters {
  private readonly releaseCallbacks = new Set<() => void>();

  /** Adds a wait that resolves at the next `releaseAll`, or after `waitMs`. */
  waitForRelease(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const release = (): void => {
        clearTimeout(timer);
        this.releaseCallbacks.delete(release);
        resolve();
      };
      const timer = setTimeout(release, waitMs);
      this.releaseCallbacks.add(release);
    });
  }

  /** Resolves and removes all current waits. */
  releaseAll(): void {
    for (const release of [...this.releaseCallbacks]) {
      release();
    }
  }
}
