/** Set of long polls that wait for the same event, each with a timeout. */
export class Waiters {
  private readonly releaseCallbacks = new Set<() => void>();

  /** Resolves when `releaseAll` is called, or after a timeout. */
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

  /** Resolves all waits. */
  releaseAll(): void {
    for (const release of [...this.releaseCallbacks]) {
      release();
    }
  }
}
