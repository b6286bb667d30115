/** Combines the lines that are written in one turn of the event loop into one write of the output. */
export class LineBuffer {
  private text = '';

  constructor(private readonly writeText: (text: string) => void) {}

  /** Adds a line, which includes its newline, and writes it with the others of this turn of the event loop. */
  writeLine(line: string): void {
    if (this.text === '') {
      setImmediate(() => this.writePending());
    }
    this.text += line;
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
