import { readFileSync } from 'node:fs';
import { request } from 'undici';
import type { Command } from '../packages/cli/Command';
import { exitCodes } from '../packages/cli/exitCodes';
import { writeLine } from '../packages/cli/writeLine';
import { EndpointStandin } from '../packages/standins/EndpointStandin';
import type { StandinBox } from '../packages/standins/StandinBox';
import { startUntilSignal } from './startUntilSignal';

const REPORT_MS = 200;

/** `dev endpoints`: endpoint stand-ins, many in one process, and their reports to the platform stand-in. */
export const endpointsCommand: Command = {
  name: 'endpoints',
  summary: 'Run endpoint stand-ins from a JSON list of boxes.',
  usage: '--boxes FILE --platform HOST:PORT',
  options: {
    boxes: { type: 'string', help: 'JSON list of boxes, as the platform stand-in takes it' },
    platform: { type: 'string', help: 'address of the platform stand-in' },
  },
  run: async ({ values }) => {
    const boxes = JSON.parse(readFileSync(String(values['boxes']), 'utf8')) as readonly StandinBox[];
    const endpoints = boxes.map((box) => new EndpointStandin(box));
    await Promise.all(endpoints.map((endpoint) => endpoint.start()));
    const sendReports = async () => {
      const body = JSON.stringify(endpoints.map((endpoint) => endpoint.createReport()));
      const answer = await request(`http://${values['platform']}/standin/reports`, { method: 'POST', body });
      await answer.body.dump();
    };
    const timer = setInterval(() => {
      sendReports().catch(() => undefined);
    }, REPORT_MS);
    writeLine('ready');
    await startUntilSignal();
    clearInterval(timer);
    for (const endpoint of endpoints) {
      endpoint.stop();
    }
    return exitCodes.done;
  },
};
