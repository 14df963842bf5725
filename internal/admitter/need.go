package admitter

import (
	"math"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Resource is a resource for which programs contend.
type Resource string

// The resources.
const (
	NoResource           Resource = "None"
	EngineTime           Resource = "EngineTime"
	EngineMemory         Resource = "EngineMemory"
	ApplicationEndpoints Resource = "ApplicationEndpoints"
)

const (
	// softApplicationLoad and hardApplicationLoad are the loads of the endpoints of a plain
	// service, in requests per slot, between which a growing share of the programs that call
	// it is refused. Endpoints with 6 slots and a queue of 24 shed from a load of 5, and calls
	// take twice as long from 2.
	softApplicationLoad = 2.5
	hardApplicationLoad = 4.0
	// softEngineLoad and hardEngineLoad are the loads of the engines, in requests per slot or
	// per place in their memory, between which a growing share of new programs is refused. A
	// program's target leaves it 0.3 to 0.5 of its time on idle engines for all its waits:
	// with limits of 1.2 and 2 most of the programs admitted in a burst ended late
	// (wigeonbench contention).
	softEngineLoad = 0.8
	hardEngineLoad = 1.1
	// lastPriority is the least urgent priority that is distinguished, and levelCount the number
	// of levels: each priority in time, and then each priority late.
	lastPriority = 2
	levelCount   = 2 * (lastPriority + 1)
	// minReturnSpread is the least interval over which refused callers return.
	minReturnSpread = 400 * time.Millisecond
	// maxReturnDivisor limits Retry-After to the part of their time that callers wait.
	maxReturnDivisor = 3
)

// startOf and fullAt are the pressures at which programs of a level begin to be refused and
// from which all of them are. Those of one level are all refused before half of the next
// more urgent ones are.
var (
	startOf = [levelCount]float64{0.3, 0, -0.2, -0.4, -0.5, -0.6}
	fullAt  = [levelCount]float64{1, 0.6, 0.3, 0, -0.1, -0.2}
)

// Need is what a new program needs and what it is worth.
type Need struct {
	// Priority is the account's priority, or the route's if the account has none; 0 is
	// the highest.
	Priority int
	// Left is the time until the program's target, and Target the whole time from its start
	// to it. The program is worth less if it ends later than that, and nothing if it ends
	// later by Target.
	Left   time.Duration
	Target time.Duration
	// Rest is what the program needs on idle endpoints; zero if unknown. EngineShare is the
	// part of it that its turns take.
	Rest        time.Duration
	EngineShare float64
}

// Room is how much of each resource is in use.
type Room struct {
	// Engine is the mean load of the engines, in requests per slot, and Memory in requests
	// per place that the contexts of programs leave in their memory.
	Engine float64
	Memory float64
	// Application is the load of the plain service that a program calls, in requests per
	// slot; that of the most loaded one if it calls several.
	Application float64
	// IsFree is true if no engine has more requests than slots, and no such service either.
	IsFree bool
}

// RoomOf returns the room that the engines and the endpoints of the plain services offer to
// programs with the given context. cacheTokens is the memory of one engine; zero if unknown.
func RoomOf(engines []registrar.Candidate, cacheTokens int, context float64, services ...[]registrar.Candidate) Room {
	room := Room{Engine: meanLoad(engines), IsFree: !hasWaiting(engines)}
	if slots := meanSlots(engines); cacheTokens > 0 && context > 0 && slots > 0 {
		places := max(float64(cacheTokens)/context, 1)
		room.Memory = room.Engine * slots / places
		// Memory binds only where it holds fewer requests than there are slots.
		if places >= slots {
			room.Memory = min(room.Memory, room.Engine)
		} else if room.Memory > 1 {
			room.IsFree = false
		}
	}
	for _, endpoints := range services {
		if len(endpoints) == 0 {
			continue
		}
		room.Application = max(room.Application, meanLoad(endpoints))
		room.IsFree = room.IsFree && room.Application <= softApplicationLoad
	}
	return room
}

func hasWaiting(candidates []registrar.Candidate) bool {
	for _, c := range candidates {
		if c.Load > float64(max(c.Slots, 1)) && !c.Limit.IsSet {
			return true
		}
	}
	return false
}

func meanSlots(candidates []registrar.Candidate) float64 {
	sum := 0
	for _, c := range candidates {
		sum += max(c.Slots, 1)
	}
	return float64(sum) / float64(max(len(candidates), 1))
}

// Contention is how far a program's resources are contended.
type Contention struct {
	// Binding is the resource that has the least room, NoResource while there is enough for
	// all, and Pressure how much is missing: from 0, where the least urgent programs begin to
	// be refused, to 1, where all are.
	Binding  Resource
	Pressure float64
	// Level orders programs by urgency and by whether they can end in time, 0 first.
	Level int
	// Refused is the share of the programs of this level that is to be refused.
	Refused float64
	// FreeIn is the time after which there is room again if no program is admitted, but at
	// most the time after which the program can no longer be in time.
	FreeIn time.Duration
}

// Contend returns the contention that a new program meets. Nothing is refused while endpoints
// have free places. Under pressure those programs are admitted first that are more urgent and
// can end in time; those that can end only later are worth less and count one level lower, and
// those that would end too late to be worth anything are refused.
//
// Reported loads are old when they are used. As with Admit, the refused share grows with the
// load, so that instances do not alternate between refusing and admitting everything.
func Contend(policy Policy, need Need, room Room) Contention {
	c := Contention{Binding: NoResource, Level: min(max(need.Priority, 0), lastPriority)}
	if policy.SoftLimit <= 0 {
		return c
	}
	c.Pressure = pressure(room.Engine, softEngineLoad, hardEngineLoad)
	c.Binding = EngineTime
	excess := room.Engine / softEngineLoad
	if p := pressure(room.Memory, softEngineLoad, hardEngineLoad); p > c.Pressure {
		c.Binding, c.Pressure, excess = EngineMemory, p, room.Memory/softEngineLoad
	}
	if p := pressure(room.Application, softApplicationLoad, hardApplicationLoad); p > c.Pressure {
		c.Binding, c.Pressure, excess = ApplicationEndpoints, p, room.Application/softApplicationLoad
	}
	stretch := 1 + min(max(need.EngineShare, 0), 1)*max(max(room.Engine, room.Memory)-1, 0)
	needed := time.Duration(float64(need.Rest) * stretch)
	isLate := needed > need.Left
	if isLate {
		c.Level += lastPriority + 1
	}
	if room.IsFree || c.Pressure <= startOf[levelCount-1] {
		c.Binding = NoResource
		return c
	}
	c.Refused = min(max((c.Pressure-startOf[c.Level])/(fullAt[c.Level]-startOf[c.Level]), 0), 1)
	if isLate && c.Pressure > 0 && needed > need.Left+max(need.Target, 0) {
		c.Refused = 1
	}
	// The programs under way end at a rate in proportion to their number. A caller that would
	// be late by then returns while it can still be in time.
	c.FreeIn = min(time.Duration(float64(needed)*math.Log(max(excess, 1))), max(need.Left-needed, 0))
	return c
}

// pressure returns where the load lies between the limits: 0 at the soft one, 1 at the hard one.
func pressure(load, soft, hard float64) float64 {
	return (load - soft) / (hard - soft)
}

// Decide decides on a first turn whose programs are refused to the given share. A refused
// caller returns when there is room again. As many return at a time as there is then room for:
// callers whom the room of FreeIn can't take come in the time after it, in proportion.
func Decide(policy Policy, turn Turn, c Contention, refused float64) Decision {
	d := Decision{Admitted: turn.LimitSample >= refused}
	if d.Admitted {
		return d
	}
	most := turn.Left / maxReturnDivisor
	least := min(max(c.FreeIn, policy.MinRetryAfter), most/2)
	spread := float64(c.FreeIn) * refused / max(1-refused, 0.05)
	spread = min(max(spread, float64(minReturnSpread)), float64(most-least))
	d.RetryAfter = max(least+time.Duration(turn.RetrySample*spread), 0)
	return d
}
