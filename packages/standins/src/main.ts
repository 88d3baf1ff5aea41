import {cac} from 'cac';
import {createEndpointStandin} from './endpoint-standin.js';
import {createPlatformStandin} from './platform-standin.js';
import {createStoreStandin} from './store-standin.js';

const program = cac('pistachiogauge-standin');
program.command('store <address>', 'Run the key-value stand-in').action(async (address: string) => {
	await createStoreStandin(address).start();
});
program.command('platform <address>', 'Run the instance list stand-in')
	.option('--lag-ms <number>', 'Delay before a change shows', {default: 200})
	.action(async (address: string, options: {lagMs: number}) => {
		await createPlatformStandin({address, lagMs: options.lagMs}).start();
	});
program.command('endpoint <address>', 'Run an endpoint stand-in')
	.option('--slots <number>', 'Requests that run at once', {default: 8})
	.option('--connections <number>', 'Connections that are accepted', {default: 64})
	.option('--run-ms <number>', 'Run time of a request', {default: 20})
	.action(async (address: string, options: {slots: number; connections: number; runMs: number}) => {
		await createEndpointStandin({
			address, slots: options.slots, connectionLimit: options.connections, runMs: options.runMs,
		}).start();
	});
program.help();
program.parse();
