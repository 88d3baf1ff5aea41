export {tasksFilter} from './tasks-filter.js';
export {createTasksState, type PoolTasks, type TasksState} from './tasks-state.js';
export {computeTaskClass} from './task-schedule.js';
