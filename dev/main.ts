import { startCommand } from '../packages/cli/startCommand';
import { devCommands } from './devCommands';

void startCommand(process.argv.slice(2), devCommands).then((code) => {
  process.exitCode = code;
});
