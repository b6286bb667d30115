import { commands } from '../packages/cli/commands';
import { startCommand } from '../packages/cli/startCommand';

void startCommand(process.argv.slice(2), commands).then((code) => {
  process.exitCode = code;
});
