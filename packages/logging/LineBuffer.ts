/** Writes the lines of the log, and combines those that may wait into one write at the end of a turn of the event loop. */
export class LineBuffer {
  private text = '';

  constructor(private readonly writeText: (text: string) => void) {}

  /**
   * Adds a line, which includes its newline. Writes it at the end of this turn of the event loop if it `canWait`, else at once, after the lines that
   * are still pending.
   */
  writeLine(line: string, canWait: boolean): void {
    const isFirst = this.text === '';
    this.text += line;
    if (!canWait) {
      this.writePending();
    } else if (isFirst) {
      setImmediate(() => this.writePending());
    }
  }

  /** Writes the lines that are still pending. */
  writePending(): void {
    const { text } = this;
    this.text = '';
    if (text !== '') {
      this.writeText(text);
    }
  }

  /** Returns the size of the lines that are pending, in UTF-16 code units. */
  getPendingLength(): number {
    return this.text.length;
  }
}
