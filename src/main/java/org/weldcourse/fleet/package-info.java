/**
 * Scale-out and scale-in of cloud machines, performed by the leader.
 *
 * <p>{@link org.weldcourse.fleet.Autoscaler} runs once a second. It deletes machines that are idle, lost, faulty or
 * failed to boot ({@code ScaleIn}, {@code ScaleInPolicy}), and launches machines for pending work and for the warm
 * pools ({@code ScaleOut}, {@link org.weldcourse.fleet.ScaleOutPlanner}, {@code WarmPools}). {@code MachineInventory}
 * reconciles the cloud's eventually consistent machine list with the machines known from heartbeats. {@link
 * org.weldcourse.fleet.CloudClient} is the client of the cloud API, and {@code CloudCodec} maps its JSON names. {@link
 * org.weldcourse.fleet.MachineTypeCatalog} caches the machine types on every node.
 *
 * <p>Times are in microseconds, memory and images in GB, work in CPU-microseconds, and prices per hour in the cloud's
 * currency.
 */
package org.weldcourse.fleet;
