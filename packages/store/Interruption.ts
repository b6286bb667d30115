/** Lets a wait for an answer be given up from outside. */
export class Interruption {
  private handleInterrupted: (() => void) | undefined;

  /** Resolves to the answer, or to undefined when the wait is interrupted first. The call itself goes on. */
  startWait<Answer>(call: Promise<Answer>): Promise<Answer | undefined> {
    const interrupted = new Promise<undefined>((resolve) => {
      this.handleInterrupted = () => resolve(undefined);
    });
    return Promise.race([call, interrupted]);
  }

  /** Ends the wait under way, if there is one. */
  stopWait(): void {
    this.handleInterrupted?.();
    this.handleInterrupted = undefined;
  }
}
