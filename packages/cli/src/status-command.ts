/** The `status` command. */
import {STATUS} from '@baobabpier/core';
import type {ControlStatus} from '@baobabpier/core';
import {exitCodes} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {callInstance} from './operator-client.js';
import type {OperatorTarget} from './operator-client.js';
import type {Output} from './output.js';

const controlLines = (control: ControlStatus): string[] => [
	`control log: index ${control.index}, leader ${control.leader ?? 'unknown'}${control.hearsQuorum ? '' : '; can\'t hear the quorum, goes on with what it has'}`,
	...(control.replica === undefined ? [] : [`replica ${control.replica}: ${control.role}, term ${control.term}`]),
	...(control.failure === undefined ? [] : [`replica stopped: ${control.failure}${control.failedForMs === undefined ? '' : `, ${Math.round(control.failedForMs / 1000)} s ago`}`]),
	...(control.reopenings === 0 ? [] : [`storage opened again ${control.reopenings} times since the start`]),
	...control.members.map(({replica, voter, lag}) => `member ${replica}: ${voter ? 'voter' : 'learner'}${lag === undefined ? '' : `, lag ${lag}`}`),
];

/** Prints an instance's status. */
export const showStatus = async (target: OperatorTarget, output: Output): Promise<ExitCode> => {
	const status = await callInstance(target, STATUS, {});
	output.print(status, [
		`instance ${status.id} in ${status.dataCentre}: revision ${status.revision}, ${status.ready ? 'ready' : 'not ready'}, ${status.requestsInFlight} requests in flight`,
		...controlLines(status.control),
		...status.services.map(service => `service ${service.name}: ${service.kind}, ${service.class}, owner ${service.owner}`),
		...status.pools.map(pool => `pool ${pool.service} in ${pool.dataCentre}: ${pool.grants} places, ${pool.engines.length} engines`),
	]);
	return exitCodes.done;
};
