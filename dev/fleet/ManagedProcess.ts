import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, readdirSync, readFileSync, type WriteStream } from 'node:fs';
import { addExitCleanup } from './addExitCleanup';

interface ManagedProcessOptions {
  readonly name: string;
  readonly args: readonly string[];
  readonly logFile: string;
}

const START_LIMIT_MS = 30_000;
const CLOCK_TICKS_PER_SECOND = 100;

/** One child process of a test or demo. It is signalled by its own id only, and is ended when this process exits, unless a signal kills that. */
export class ManagedProcess {
  private readonly child: ChildProcess;
  private readonly log: WriteStream;
  private output = '';
  readonly exit: Promise<number | null>;
  /** Resolves once it has ended and all its output is in the log file. */
  private readonly logged: Promise<void>;

  constructor(readonly options: ManagedProcessOptions) {
    this.log = createWriteStream(options.logFile, { flags: 'a' });
    this.child = spawn(process.execPath, options.args, { stdio: ['ignore', 'pipe', 'pipe'] });
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream?.on('data', (chunk: Buffer) => {
        this.output += chunk.toString('utf8');
        this.log.write(chunk);
      });
    }
    this.exit = new Promise((resolve) => this.child.once('exit', (code) => resolve(code)));
    const removeCleanup = addExitCleanup(() => this.child.kill('SIGKILL'));
    void this.exit.then(removeCleanup);
    this.logged = new Promise((resolve) => this.child.once('close', () => this.log.end(resolve)));
  }

  /** Everything that it has printed so far. */
  readOutput(): string {
    return this.output;
  }

  isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Processor time that it has used so far, in seconds, as the kernel counts it. */
  readCpuSeconds(): number {
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    // After the name in brackets, which may hold blanks: user and system time stand at places 12 and 13 from there.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
  }

  /** Largest resident memory so far, in megabytes (2^20 bytes), as the kernel counts it. */
  readPeakMemoryMb(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) / 1024;
  }

  /** Counts its open descriptors. */
  countDescriptors(): number {
    return readdirSync(`/proc/${this.child.pid}/fd`).length;
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves once it has printed a text; rejects when it ends before. */
  async startWait(text: string): Promise<void> {
    const until = performance.now() + START_LIMIT_MS;
    while (!this.output.includes(text)) {
      if (!this.isAlive() || performance.now() > until) {
        throw new Error(`${this.options.name} did not get ready: ${this.output}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Ends it at once, and waits until its output has been written to the log file. */
  async stop(): Promise<void> {
    if (this.isAlive()) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.exit;
    }
    await this.logged;
  }
}
