/** Answers that wait for something to happen, each for a limited time. */
export class Waiters {
  private readonly waiting = new Set<() => void>();

  /** Resolves when `stopAll` is called, or after a time. */
  startWait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const handleEnd = (): void => {
        clearTimeout(timer);
        this.waiting.delete(handleEnd);
        resolve();
      };
      const timer = setTimeout(handleEnd, waitMs);
      this.waiting.add(handleEnd);
    });
  }

  stopAll(): void {
    for (const handleEnd of [...this.waiting]) {
      handleEnd();
    }
  }
}
