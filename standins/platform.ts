/**
 * Runs the platform's stand-ins as one process: table service, host list and object store, with a control port that
 * sets their faults. Prints one line of JSON with their addresses once it is ready.
 */

import * as hostList from './host-list.js'
import * as jsonServer from './json-server.js'
import * as objectStore from './object-store.js'
import * as tableService from './table-service.js'

const table = new tableService.TableStandin()
const hosts = new hostList.HostListStandin()
const objects = new objectStore.ObjectStandin()

const tableServer = await jsonServer.serveJson((request, response) => table.handle(request, response))
const hostServer = await jsonServer.serveJson((request, response) => hosts.handle(request, response))
const objectServer = await jsonServer.serveJson((request, response) => objects.handle(request, response))
const controlServer = await jsonServer.serveJson((request, response) => {
  const input = request.body.length === 0 ? {} : JSON.parse(request.body.toString('utf8')) as object
  if (request.path === '/table') Object.assign(table.faults, input)
  if (request.path === '/hosts') Object.assign(hosts, input)
  if (request.path === '/objects') Object.assign(objects.faults, input)
  jsonServer.sendJson(response, 200, {
    table: table.faults, counts: { ...table.counts, hostListReads: hosts.reads, objects: objects.counts }
  })
})

process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
console.log(JSON.stringify({
  ready: true,
  table: tableServer.address,
  hosts: hostServer.address,
  objects: objectServer.address,
  control: controlServer.address
}))
