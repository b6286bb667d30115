// Stand-in of the advice service, as PROTOCOL.md describes it: for each calling machine, one call at a time, in turn.
import { createServer } from 'node:http';
import { createHash } from 'node:crypto';

const MOST_WAITING = 32;
const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Number from 0 to 1 that never changes for a text. */
const toShare = (text) => createHash('sha256').update(text).digest().readUInt32BE(0) / 2 ** 32;

export class Advice {
  servers = [];
  /** Time at which each ticket was given. */
  tickets = new Map();
  /** Milliseconds of work for each machine, and its calls. */
  work = [];

  /** `timesOf(job)` returns `decision-ms`, `period-ms`, `validity-ms` and the share of servers that may run a step of the job. */
  constructor(timesOf) {
    this.timesOf = timesOf;
  }

  /** Starts the listener of one machine; returns its address. */
  async listen(machine) {
    let last = Promise.resolve();
    let waiting = 0;
    this.work[machine] = { ms: 0, calls: 0 };
    const server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const send = (status, value) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(value));
        };
        if (waiting >= MOST_WAITING) return send(429, {});
        waiting += 1;
        const { step, workers } = JSON.parse(Buffer.concat(chunks).toString());
        last = last.then(async () => {
          const times = this.timesOf(step.split('.')[0]);
          const ms = times['decision-ms'] + times['period-ms'] * workers.length;
          await delay(ms);
          waiting -= 1;
          this.work[machine].ms += ms;
          this.work[machine].calls += 1;
          const good = workers.filter((id) => toShare(`${step} ${id}`) < times.share);
          send(200, {
            good: good.map((id) => {
              const ticket = `${step} ${id} ${this.tickets.size}`;
              this.tickets.set(ticket, performance.now());
              return [id, ticket];
            }),
            'validity-ms': times['validity-ms'],
          });
        });
        return undefined;
      });
    });
    this.servers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${server.address().port}`;
  }

  /** Returns the reason for which a server rejects a start; undefined if its ticket is valid. */
  refuse({ task, ticket = '' }, { id }) {
    const [job, time, step] = task.split('.');
    const times = this.timesOf(job);
    const givenAt = this.tickets.get(ticket);
    const isValid = ticket.startsWith(`${job}.${time}.${step} ${id} `) && givenAt !== undefined;
    return isValid && performance.now() - givenAt <= times['validity-ms'] ? undefined : 'ticket';
  }

  stop() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}
