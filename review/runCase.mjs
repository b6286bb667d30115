import { Deployment, SetupError } from './Deployment.mjs';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const TIME_LIMIT_MS = 115_000;

/**
 * Runs a case in the folder of its script. `play` gets the deployment and whether the disruption is to happen, and returns the list of what
 * broke the rule. Exits with 1 if there is any, with 0 if there is none, and with 2 if the case could not run.
 */
export const runCase = async (folder, play) => {
  const isTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(`${folder}/record.txt`);
  const timer = setTimeout(() => {
    deployment.record('time limit');
    void deployment.stop().then(() => process.exit(NOT_RUN));
  }, TIME_LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void deployment.stop().then(() => process.exit(NOT_RUN)));
  }
  let code = NOT_RUN;
  try {
    deployment.record(isTrouble ? 'with the disruption' : 'TROUBLE=0: without the disruption');
    const breaches = await play(deployment, isTrouble);
    breaches.forEach((breach) => deployment.record(`BROKEN: ${breach}`));
    deployment.record(
      breaches.length === 0 ? 'the rule held' : `the rule was broken: ${breaches.length} times`,
    );
    code = breaches.length === 0 ? HELD : BROKEN;
  } catch (error) {
    deployment.record(`the case could not run: ${error instanceof SetupError ? error.message : error.stack}`);
  }
  await deployment.stop();
  clearTimeout(timer);
  console.log(deployment.lines.slice(-3).join('\n'));
  process.exit(code);
};
