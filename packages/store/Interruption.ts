/** Lets a pending wait for a call be interrupted. */
export class Interruption {
  private handleInterrupted: (() => void) | undefined;

  /** Resolves to the result of the call, or to undefined when interrupted first. The call itself is not cancelled. */
  waitFor<Value>(call: Promise<Value>): Promise<Value | undefined> {
    const interrupted = new Promise<undefined>((resolve) => {
      this.handleInterrupted = () => resolve(undefined);
    });
    return Promise.race([call, interrupted]);
  }

  /** Interrupts the pending wait, if there is one. */
  cancel(): void {
    this.handleInterrupted?.();
    this.handleInterrupted = undefined;
  }
}
